package io.banyantally.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats JSON as indented lines of names and values. */
final class TextOutput {

    private static final String INDENT = "  ";

    private TextOutput() {}

    static String of(JsonNode node) {
        StringBuilder text = new StringBuilder();
        write(node, "", text);
        return text.toString();
    }

    private static void write(JsonNode node, String indent, StringBuilder text) {
        if (node.isObject()) {
            node.properties().forEach(field -> named(field.getKey() + ":", field.getValue(), indent, text));
        } else if (node.isArray()) {
            node.forEach(item -> named("-", item, indent, text));
        } else {
            text.append(indent).append(node.asText()).append('\n');
        }
    }

    private static void named(String name, JsonNode value, String indent, StringBuilder text) {
        text.append(indent).append(name);
        if (value.isContainerNode() && !value.isEmpty()) {
            text.append('\n');
            write(value, indent + INDENT, text);
        } else {
            text.append(' ')
                    .append(value.isContainerNode() ? "none" : value.asText())
                    .append('\n');
        }
    }
}
