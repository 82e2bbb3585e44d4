package io.banyantally.daemon.operator;

/**
 * A request to an entry daemon.
 *
 * @param path what follows {@code /operator/v1/}, with its query
 */
record OperatorCall(String method, String path, byte[] body) {

    static OperatorCall get(String path) {
        return new OperatorCall("GET", path, new byte[0]);
    }
}
