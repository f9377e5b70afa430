package marlford.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import marlford.membership.Bootstrap.Step;
import org.junit.jupiter.api.Test;

/** Who votes: how a group begins, and how a lost disk is replaced. */
class MembershipTest {
    private static final List<String> NAMES = List.of("a", "b", "c");

    private static Hello hello(String point, long life, List<String> initial) {
        return new Hello("f", point, life, initial, Map.of());
    }

    private static Bootstrap founding(String point) {
        return new Bootstrap(hello(point, 1, null), NAMES);
    }

    /** Where one is away it may be the one that knows of a group. */
    @Test
    void aGroupIsFoundedByAllOrNotAtAll() {
        Bootstrap f = founding("a:1");
        f.heard(hello("b:1", 1, null));
        f.heard(new Hello("another", "c:1", 1, null, Map.of()));
        f.heard(hello("x:1", 1, null)); // nobody named it
        assertEquals(Step.WAIT, f.decide().step());
        f.heard(hello("c:1", 1, null));
        assertEquals(new Bootstrap.Decision(Step.BEGIN, List.of("a:1", "b:1", "c:1")), f.decide());
    }

    @Test
    void whoHearsOfAGroupTakesItsPlaceOrWaitsToBeTakenIn() {
        Bootstrap counted = founding("a:1");
        counted.heard(hello("b:1", 1, List.of("a:1", "b:1", "c:1")));
        assertEquals(Step.BEGIN, counted.decide().step());
        Bootstrap emptied = founding("a:2");
        emptied.heard(hello("c:1", 1, null));
        emptied.heard(hello("b:1", 1, List.of("a:1", "b:1", "c:1")));
        assertEquals(Step.LISTEN, emptied.decide().step());
    }

    @Test
    void anEmptiedDiskIsANewMemberByOneChangeAtATime() {
        VoterReplacement r = new VoterReplacement(1000);
        r.heard(hello("b:1", 1, null), 0);
        r.heard(hello("c:1", 1, null), 0);
        assertNull(r.next(Set.of("a:1", "b:1", "c:1"), Set.of("a:1", "b:1", "c:1"), "a:1", 10));
        r.heard(hello("b:1", 1, null), 5000);
        r.heard(hello("c:2", 1, null), 5000);
        assertEquals(
                new VoterReplacement.Step(VoterReplacement.Kind.REMOVE, "c:1"),
                r.next(Set.of("a:1", "b:1", "c:1"), Set.of("a:1", "b:1", "c:1"), "a:1", 5001));
        assertEquals(
                new VoterReplacement.Step(VoterReplacement.Kind.LISTEN, "c:2"),
                r.next(Set.of("a:1", "b:1"), Set.of("a:1", "b:1"), "a:1", 5001));
        assertEquals(
                new VoterReplacement.Step(VoterReplacement.Kind.VOTE, "c:2"),
                r.next(Set.of("a:1", "b:1"), Set.of("a:1", "b:1", "c:2"), "a:1", 5001));
    }

    @Test
    void noChangeLeavesFewerThanAMajorityAtHandNorPutsOutTheLiving() {
        Set<String> three = Set.of("a:1", "b:1", "c:1");
        VoterReplacement r = new VoterReplacement(1000);
        r.heard(hello("c:2", 1, null), 5000); // b is away as well
        assertNull(r.next(three, three, "a:1", 5001));
        r.heard(hello("b:1", 1, null), 5000);
        r.heard(hello("c:1", 1, null), 5000); // two processes with one name
        r.heard(hello("c:2", 1, null), 5001);
        assertNull(r.next(three, three, "a:1", 5002));
    }

    /** Two of three lose their disks: there is no majority of the old any more, and no rule makes one up. */
    @Test
    void aMajorityThatIsGoneIsNotMadeUp() {
        Set<String> three = Set.of("a:1", "b:1", "c:1");
        VoterReplacement r = new VoterReplacement(1000);
        r.heard(hello("b:2", 1, null), 5000);
        r.heard(hello("c:2", 1, null), 5000);
        assertNull(r.next(three, three, "a:1", 5001));
    }

    @Test
    void anOlderCopyOfADiskIsFoundOutByWhoeverSawALaterLife() {
        VoterReplacement r = new VoterReplacement(1000);
        r.heard(hello("b:1", 3, null), 0);
        r.heard(hello("b:1", 2, null), 10);
        assertTrue(r.isOlderCopy("b:1"));
        r.heard(hello("b:1", 4, null), 20);
        assertFalse(r.isOlderCopy("b:1"));
        VoterReplacement restarted = new VoterReplacement(1000);
        restarted.heard(new Hello("f", "c:1", 1, null, r.lives()), 0);
        restarted.heard(hello("b:1", 3, null), 10);
        assertTrue(restarted.isOlderCopy("b:1"));
    }
}
