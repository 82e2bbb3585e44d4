package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** An operator's request is refused with a JSON error. */
final class OperatorRefusalException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;
    private final String type;
    private final boolean notRun;

    OperatorRefusalException(int status, String type, String message) {
        this(status, type, message, true);
    }

    /** Creates the exception; {@code notRun} is false if the request may have taken effect. */
    OperatorRefusalException(int status, String type, String message, boolean notRun) {
        super(message);
        this.status = status;
        this.type = type;
        this.notRun = notRun;
    }

    OperatorResponse toResponse() {
        ObjectNode body = ConfigurationDocuments.MAPPER.createObjectNode();
        body.putObject("error").put("type", type).put("message", getMessage()).put("notRun", notRun);
        return new OperatorResponse(status, body);
    }
}
