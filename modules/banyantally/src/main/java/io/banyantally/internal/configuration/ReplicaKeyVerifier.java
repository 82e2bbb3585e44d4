package io.banyantally.internal.configuration;

import io.banyantally.internal.configuration.KeyRefusedException.Reason;
import io.banyantally.model.KeyId;
import java.util.Optional;

/** Verifies keys against the configuration in force, while there is a fresh proof that it is current. */
public final class ReplicaKeyVerifier implements KeyVerifier {

    /** Compared instead of an unknown key's hash, so that checking unknown and wrong keys takes the same time. */
    private static final SaltedHash UNKNOWN_KEY_HASH = new SaltedHash("00".repeat(16), "00".repeat(32));

    private static final ApiKey MALFORMED_KEY = new ApiKey(new KeyId("malformed"), "0".repeat(64));

    private final ConfigurationReplica replica;

    /** Creates a verifier that uses the configuration and proofs of {@code replica}. */
    public ReplicaKeyVerifier(ConfigurationReplica replica) {
        this.replica = replica;
    }

    @Override
    public ClientAccountParameters verify(Optional<String> authorization) throws KeyRefusedException {
        if (authorization.isEmpty()) {
            throw new KeyRefusedException(
                    Reason.MISSING, "this path needs a key; send it as 'Authorization: Bearer <key>'");
        }
        ReplicaState state = replica.state();
        Configuration configuration = state.snapshot().configuration();
        Optional<ApiKey> presented = ApiKey.parse(authorization.get());
        ApiKey key = presented.orElse(MALFORMED_KEY);
        Optional<KeyRecord> stored = Optional.ofNullable(configuration.keys().get(key.id()));
        SaltedHash hash = stored.map(keyRecord -> new SaltedHash(keyRecord.salt(), keyRecord.hash()))
                .orElse(UNKNOWN_KEY_HASH);
        boolean matches = hash.matches(key.secret()) && presented.isPresent() && stored.isPresent();
        // Checked last, against the state read above, so that a proof that expired during a pause is not accepted.
        if (!replica.isProven(state)) {
            throw new KeyRefusedException(
                    Reason.NOT_PROVEN, "this VM can't prove that its configuration is current; ask another VM");
        }
        if (!matches) {
            throw notValid();
        }
        return Optional.ofNullable(configuration.accounts().get(stored.get().account()))
                .orElseThrow(ReplicaKeyVerifier::notValid);
    }

    private static KeyRefusedException notValid() {
        return new KeyRefusedException(Reason.NOT_VALID, "the key is not valid");
    }
}
