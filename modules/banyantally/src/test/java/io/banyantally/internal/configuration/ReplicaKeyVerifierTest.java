package io.banyantally.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.banyantally.internal.configuration.KeyRefusedException.Reason;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A key lets a request in for its own client account and no other. */
final class ReplicaKeyVerifierTest {

    /** Guards against a request that runs for another account than its key's. */
    @Test
    void keyYieldsItsAccount() throws Exception {
        TestSite site = TestSite.running(3);
        IssuedKey key = site.give(0);
        assertEquals(
                TestSite.ACCOUNT,
                site.vm(0)
                        .part
                        .keyVerifier()
                        .verify(Optional.of("bearer " + key.text()))
                        .account());
    }

    /** Guards against a bad key that is treated like no key, or like another one. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "key check", fault = "wrong, unknown or malformed key")
    void badKeysAreRefusedAlike() throws Exception {
        TestSite site = TestSite.running(3);
        IssuedKey key = site.give(0);
        IssuedKey other = site.give(0);
        String crossed =
                "bk_" + key.id() + "_" + other.text().substring(other.text().lastIndexOf('_') + 1);
        String unknown = "bk_ffff_" + "0".repeat(64);
        for (String bad :
                new String[] {crossed, unknown, "", "bk_", "bk__x", "bk_.a_0000000000000000", key.text() + "0"}) {
            assertEquals(Reason.NOT_VALID, site.vm(0).refusal(bad), "'" + bad + "'");
        }
        KeyRefusedException basic = assertThrows(
                KeyRefusedException.class,
                () -> site.vm(0).part.keyVerifier().verify(Optional.of("Basic " + key.text())));
        assertEquals(Reason.NOT_VALID, basic.reason());
        KeyRefusedException missing = assertThrows(
                KeyRefusedException.class, () -> site.vm(0).part.keyVerifier().verify(Optional.empty()));
        assertEquals(Reason.MISSING, missing.reason());
    }

    /** Guards against secrets in logs and events. */
    @Test
    void secretsAppearInNoTextForm() throws Exception {
        TestSite site = TestSite.running(3);
        IssuedKey key = site.give(0);
        String secret = key.text().substring(key.text().lastIndexOf('_') + 1);
        assertFalse(key.toString().contains(secret));
        assertFalse(
                ApiKey.parse("Bearer " + key.text()).orElseThrow().toString().contains(secret));
        assertFalse(site.vm(0).events().toString().contains(secret));
    }
}
