package marlford.consensus;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import marlford.lease.MemberSimulation;
import marlford.lease.Reply;
import marlford.lease.Request;
import org.junit.jupiter.api.Test;

/** What a member costs on the wire, in virtual time. */
class CostTest {
    private static final int MEMBERS = 500;
    private static final int LEASES_EACH = 20;

    private static int size(Object o) {
        try {
            return Codec.bytes(o instanceof Request a ? new RequestFrame(1, a) : new ReplyFrame(1, (Reply) o)).length;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** 10,000 leases at 500 members that read the board; the bound has a reserve of half. */
    @Test
    void aMemberCostsAKilobyteASecond() {
        MemberSimulation sim = new MemberSimulation(7, 0);
        for (int i = 0; i < MEMBERS; i++) {
            MemberSimulation.Peer p = sim.add("member-" + i);
            p.member.board();
            for (int l = 0; l < LEASES_EACH; l++) {
                p.member.want("lease-" + (i * LEASES_EACH + l), 1);
            }
        }
        for (int i = 0; i < 500; i++) {
            sim.step();
        }
        sim.size = CostTest::size;
        double seconds = 10;
        for (double end = sim.now + seconds * 1000; sim.now < end; ) {
            sim.step();
        }
        double each = sim.bytes / seconds / MEMBERS;
        System.out.println(
                "members: 500 with 10,000 leases cost " + Math.round(each) + " bytes a second each, both ways");
        assertTrue(each > 0 && each < 2000, "" + each);
    }
}
