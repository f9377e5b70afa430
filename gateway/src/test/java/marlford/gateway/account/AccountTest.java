package marlford.gateway.account;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class AccountTest {
    @Test
    void whatIsTakenBeginsAnewAndNoughtIsLeftOut() {
        Account account = new Account();
        account.note(Account.Item.SENT);
        account.note(Account.Item.TRIES);
        account.note(Account.Item.TRIES);
        assertEquals("tries=2 sent=1", account.take());
        assertEquals("", account.take());
    }
}
