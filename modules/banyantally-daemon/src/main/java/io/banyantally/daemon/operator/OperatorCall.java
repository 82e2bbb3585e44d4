package io.banyantally.daemon.operator;

/**
 * An operator's HTTP request to an entry daemon.
 *
 * @param path the path after {@code /operator/v1/}, with the query
 */
record OperatorCall(String method, String path, byte[] body) {

    static OperatorCall get(String path) {
        return new OperatorCall("GET", path, new byte[0]);
    }
}
