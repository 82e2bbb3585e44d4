package io.banyantally.internal.configuration;

import io.banyantally.internal.configuration.KeyRefusedException.Reason;
import io.banyantally.model.KeyId;
import java.util.Optional;

/** Verifies keys against the configuration in force, as long as that is proven to be current. */
public final class ReplicaKeyVerifier implements KeyVerifier {

    /** Hashed in place of an unknown key's record, so that unknown and wrong keys take the same time. */
    private static final SaltedHash NO_KEY = new SaltedHash("00".repeat(16), "00".repeat(32));

    private static final ApiKey MALFORMED = new ApiKey(new KeyId("malformed"), "0".repeat(64));

    private final ConfigurationReplica replica;

    /** Creates a verifier. */
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
        ApiKey key = presented.orElse(MALFORMED);
        Optional<KeyRecord> stored = Optional.ofNullable(configuration.keys().get(key.id()));
        SaltedHash hash =
                stored.map(known -> new SaltedHash(known.salt(), known.hash())).orElse(NO_KEY);
        boolean matches = hash.matches(key.secret()) && presented.isPresent() && stored.isPresent();
        // Checked last and for the state that was read first, so that a pause in between ends the proof.
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
