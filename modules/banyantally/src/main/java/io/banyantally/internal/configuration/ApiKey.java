package io.banyantally.internal.configuration;

import io.banyantally.model.KeyId;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An API key as sent by a caller: {@code bk_<keyId>_<secret>}. */
record ApiKey(KeyId id, String secret) {

    private static final String SCHEME = "Bearer ";
    private static final Pattern FORMAT = Pattern.compile("bk_([0-9a-zA-Z.-]{1,128})_([0-9a-zA-Z]{16,128})");

    /** Parses an {@code Authorization} header; empty unless it is a bearer token in the format of an API key. */
    static Optional<ApiKey> parse(String authorization) {
        if (!authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        Matcher matcher =
                FORMAT.matcher(authorization.substring(SCHEME.length()).strip());
        return matcher.matches() && Character.isLetterOrDigit(matcher.group(1).charAt(0))
                ? Optional.of(new ApiKey(new KeyId(matcher.group(1)), matcher.group(2)))
                : Optional.empty();
    }

    String text() {
        return "bk_" + id + "_" + secret;
    }

    @Override
    public String toString() {
        return "ApiKey[id=" + id + "]";
    }
}
