package marlford.gateway.guard;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which connections lead to the listed host after it may have ended. */
class HostIdentityTest {
    private static final double LOSS_MS = 1000;
    private static final double TOLD_MS = LOSS_MS + ListConfirmation.TOLD_WITHIN_MS; // the loss would have been told until then

    private final ListConfirmation confirmation = new ListConfirmation();
    private final HostIdentity identity = new HostIdentity(confirmation);

    @Test
    void withoutALossEveryConnectionIsCertain() {
        assertTrue(identity.isCertain(LOSS_MS));
    }

    /** However long ago the loss was: discovery may have been silent since. */
    @Test
    void aConnectionFromBeforeTheLossIsCertainAndANewerOneOnlyOnceDiscoveryHasHadTimeForNewsAndHadNone() {
        confirmation.record(LOSS_MS - 1);
        identity.recordLoss(LOSS_MS);
        assertTrue(identity.isCertain(LOSS_MS - 1));
        assertFalse(identity.isCertain(LOSS_MS));
        confirmation.record(TOLD_MS);
        assertFalse(identity.isCertain(LOSS_MS + 1));
        confirmation.record(TOLD_MS + 1);
        assertTrue(identity.isCertain(LOSS_MS + 1));
    }

    /** The connection was opened between two losses, so it may lead to the process that came up after the first. */
    @Test
    void aSecondLossDoesNotMakeAConnectionCertainThatWasUncertain() {
        identity.recordLoss(LOSS_MS);
        identity.recordLoss(LOSS_MS + 500);
        assertFalse(identity.isCertain(LOSS_MS + 200));
        confirmation.record(TOLD_MS + 1);
        assertFalse(identity.isCertain(LOSS_MS + 200));
    }

    /** Guards against repeats that fail for as long as a host resets a connection every few seconds, on whatever connection they were to go. */
    @Test
    void aConnectionThatTheListCoversIsCertainThoughLossesGoOn() {
        identity.recordLoss(LOSS_MS);
        identity.recordLoss(LOSS_MS + 5000);
        identity.recordLoss(LOSS_MS + 10_000);
        confirmation.record(LOSS_MS + 10_001);
        assertTrue(identity.isCertain(LOSS_MS + 10_000 - ListConfirmation.TOLD_WITHIN_MS));
        assertFalse(identity.isCertain(LOSS_MS + 10_001 - ListConfirmation.TOLD_WITHIN_MS));
    }
}
