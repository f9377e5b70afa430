package marlford.storm.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which repeats a gateway made although it had been told that the address had changed hands. */
class ToldRepeatsTest {
    private static final String FIRST = "trace 1.0 attempt request=o1 number=0 host=h1";
    private static final String FIRST_BEGUN =
            "trace 1.1 attempt-begun request=o1 number=0 opened_ago_ms=0 certain=true";
    private static final String ENDED = "trace 1.2 tenure-ended host=h1";
    private static final String OTHER_ENDED = "trace 1.2 tenure-ended host=h2";
    private static final String SECOND = "trace 1.3 attempt request=o1 number=1 host=h2";
    private static final String SECOND_BEGUN =
            "trace 1.4 attempt-begun request=o1 number=1 opened_ago_ms=0 certain=true";

    private static final String CONFIRMED = "trace 0.5 list-confirmed age_ms=0";
    private static final String BEGUN_IN_SILENCE =
            "trace 6400.9 attempt-begun request=o1 number=0 opened_ago_ms=50 certain=false";
    private static final String BEGUN_LATER =
            "trace 6501.4 attempt-begun request=o1 number=1 opened_ago_ms=0 certain=true";

    private static Set<String> found(String... lines) {
        return ToldRepeats.in(List.of(lines), Set.of("o1"));
    }

    @Test
    void aRepeatAfterTheNewsIsFound() {
        assertEquals(Set.of("o1"), found(FIRST, FIRST_BEGUN, ENDED, SECOND, SECOND_BEGUN));
        assertEquals(Set.of("o1"), found(FIRST, FIRST_BEGUN, SECOND, ENDED, SECOND_BEGUN));
    }

    @Test
    void aRepeatAfterALongSilenceIsFound() {
        assertEquals(Set.of("o1"), found(CONFIRMED, FIRST, BEGUN_IN_SILENCE, SECOND, BEGUN_LATER));
    }

    @Test
    void aRepeatOfAConnectionFromBeforeTheSilenceOrOnceTheListIsConfirmedIsNot() {
        assertEquals(Set.of(), found(CONFIRMED, FIRST, BEGUN_IN_SILENCE.replace("=50", "=6401"), SECOND, BEGUN_LATER));
        assertEquals(
                Set.of(),
                found(CONFIRMED, FIRST, BEGUN_IN_SILENCE, SECOND, CONFIRMED.replace("0.5", "2.0"), BEGUN_LATER));
        assertEquals(Set.of(), found(FIRST, BEGUN_IN_SILENCE, SECOND, BEGUN_LATER));
    }

    @Test
    void aRepeatBeforeTheNewsOrOfAnotherHostOrOrderIsNot() {
        assertEquals(Set.of(), found(FIRST, FIRST_BEGUN, SECOND, SECOND_BEGUN, ENDED));
        assertEquals(Set.of(), found(FIRST, FIRST_BEGUN, OTHER_ENDED, SECOND, SECOND_BEGUN));
        assertEquals(Set.of(), found(FIRST, ENDED, SECOND, SECOND_BEGUN));
        assertEquals(Set.of(), ToldRepeats.in(List.of(FIRST, FIRST_BEGUN, ENDED, SECOND, SECOND_BEGUN), Set.of("o2")));
    }
}
