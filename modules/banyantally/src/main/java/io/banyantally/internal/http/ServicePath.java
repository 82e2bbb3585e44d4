package io.banyantally.internal.http;

import io.banyantally.model.ServiceName;

/**
 * The path of a call to a plain service.
 *
 * @param path the decoded path after the service name, used to find the route
 * @param pathAndQuery the same path with its query as sent by the caller, not decoded
 */
record ServicePath(ServiceName service, String path, String pathAndQuery) {

    static ServicePath parse(String decoded, String raw) throws RequestFailedException {
        String rest = decoded.substring(ServiceEndpoint.PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        String rawRest = raw.substring(ServiceEndpoint.PREFIX.length());
        int rawEnd = rawRest.indexOf('/');
        String rawPath = rawEnd < 0 ? "/" : rawRest.substring(rawEnd);
        if (path.contains("..")) {
            throw RequestFailedException.notRun(ErrorType.INVALID_REQUEST, "the path must not contain '..'");
        }
        try {
            return new ServicePath(ServiceName.plain(name), path, rawPath);
        } catch (IllegalArgumentException invalid) {
            throw RequestFailedException.notRun(ErrorType.UNKNOWN_SERVICE, "no plain service has this name");
        }
    }
}
