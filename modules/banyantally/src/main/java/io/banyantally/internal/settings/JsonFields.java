package io.banyantally.internal.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads the fields of a JSON object and collects every problem instead of stopping at the first. After reading, call
 * {@link #finish()} to find unknown fields. An invalid field returns a placeholder, which is never used, because the
 * settings are rejected.
 */
public final class JsonFields {

    private static final int MAXIMUM_PORT = 65_535;

    private final String path;
    private final JsonNode node;
    private final List<SettingsProblem> problems;
    private final Set<String> read = new HashSet<>();

    private JsonFields(String path, JsonNode node, List<SettingsProblem> problems) {
        this.path = path;
        this.node = node;
        this.problems = problems;
    }

    /** Returns a reader of an object; it adds problems to {@code problems}. */
    public static JsonFields of(JsonNode root, List<SettingsProblem> problems) {
        if (!root.isObject()) {
            problems.add(new SettingsProblem("$", describe(root), "an object"));
            return new JsonFields("$", JsonNodeFactory.instance.objectNode(), problems);
        }
        return new JsonFields("$", root, problems);
    }

    /** Reads and converts a string; an {@link IllegalArgumentException} of the conversion is recorded as a problem. */
    public <T> T text(String name, String allowed, T placeholder, Function<String, T> convert) {
        Optional<JsonNode> value = value(name, allowed);
        if (value.isEmpty()) {
            return placeholder;
        }
        if (!value.get().isTextual()) {
            return problem(name, value.get(), allowed, placeholder);
        }
        try {
            return convert.apply(value.get().textValue());
        } catch (IllegalArgumentException invalid) {
            return problem(name, value.get(), allowed, placeholder);
        }
    }

    /** Reads a whole number from {@code minimum} to {@code maximum}, both inclusive. */
    public int integer(String name, int minimum, int maximum) {
        String allowed = "a whole number from " + minimum + " to " + maximum;
        return value(name, allowed)
                .map(value -> value.canConvertToInt()
                                && value.isIntegralNumber()
                                && value.intValue() >= minimum
                                && value.intValue() <= maximum
                        ? value.intValue()
                        : problem(name, value, allowed, minimum))
                .orElse(minimum);
    }

    /** Reads a whole number within limits; an absent field reads as the default. */
    public int integer(String name, int minimum, int maximum, int defaultValue) {
        return has(name) ? integer(name, minimum, maximum) : defaultValue;
    }

    /** Reads a number within limits; an absent field reads as the default. */
    public double number(String name, double minimum, double maximum, double defaultValue) {
        if (!has(name)) {
            return defaultValue;
        }
        String allowed = "a number from " + minimum + " to " + maximum;
        return value(name, allowed)
                .map(value -> value.isNumber() && value.doubleValue() >= minimum && value.doubleValue() <= maximum
                        ? value.doubleValue()
                        : problem(name, value, allowed, defaultValue))
                .orElse(defaultValue);
    }

    /** Reads true or false; an absent field reads as the default. */
    public boolean flag(String name, boolean defaultValue) {
        if (!has(name)) {
            return defaultValue;
        }
        return value(name, "true or false")
                .map(value ->
                        value.isBoolean() ? value.booleanValue() : problem(name, value, "true or false", defaultValue))
                .orElse(defaultValue);
    }

    /** Reads an address such as {@code 10.0.0.1:8080}; host names are rejected, so that none is looked up. */
    public InetSocketAddress address(String name) {
        return text(
                name,
                "an IP address and port such as 10.0.0.1:8080",
                InetSocketAddress.createUnresolved("0.0.0.0", 0),
                JsonFields::parseAddress);
    }

    /** Reads a nested object. */
    public JsonFields object(String name) {
        Optional<JsonNode> value = value(name, "an object");
        JsonNode empty = JsonNodeFactory.instance.objectNode();
        if (value.isEmpty()) {
            return new JsonFields(pathOf(name), empty, new ArrayList<>());
        }
        JsonNode nested = value.get().isObject() ? value.get() : problem(name, value.get(), "an object", empty);
        return new JsonFields(pathOf(name), nested, problems);
    }

    /** Reads a nested object; an absent field reads as an empty object. */
    public JsonFields optionalObject(String name) {
        if (has(name)) {
            return object(name);
        }
        read.add(name);
        return new JsonFields(pathOf(name), JsonNodeFactory.instance.objectNode(), problems);
    }

    /** Reads a list of objects; an absent field reads as an empty list. */
    public <T> List<T> objects(String name, Function<JsonFields, T> convert) {
        if (!has(name)) {
            return List.of();
        }
        JsonNode list = value(name, "a list of objects").orElseThrow();
        if (!list.isArray()) {
            return problem(name, list, "a list of objects", List.of());
        }
        List<T> result = new ArrayList<>();
        for (int index = 0; index < list.size(); index++) {
            String itemName = name + "[" + index + "]";
            JsonNode item = list.get(index);
            JsonNode object = item.isObject()
                    ? item
                    : problem(itemName, item, "an object", JsonNodeFactory.instance.objectNode());
            JsonFields fields = new JsonFields(pathOf(itemName), object, problems);
            result.add(convert.apply(fields));
            fields.finish();
        }
        return result;
    }

    /** Returns whether the field is present. */
    public boolean has(String name) {
        return node.has(name);
    }

    /** Adds a problem for each field that was not read, since it is unknown. */
    public void finish() {
        node.fieldNames().forEachRemaining(name -> {
            if (!read.contains(name)) {
                problems.add(new SettingsProblem(
                        pathOf(name), "an unknown field", "only " + String.join(", ", new java.util.TreeSet<>(read))));
            }
        });
    }

    private Optional<JsonNode> value(String name, String allowed) {
        read.add(name);
        JsonNode value = node.get(name);
        if (value == null || value.isNull()) {
            problems.add(new SettingsProblem(pathOf(name), "nothing", allowed));
            return Optional.empty();
        }
        return Optional.of(value);
    }

    private <T> T problem(String name, JsonNode found, String allowed, T placeholder) {
        problems.add(new SettingsProblem(pathOf(name), describe(found), allowed));
        return placeholder;
    }

    private String pathOf(String name) {
        return path + "." + name;
    }

    private static String describe(JsonNode node) {
        return node.isTextual() ? "\"" + node.textValue() + "\"" : node.toString();
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
            throw new IllegalArgumentException(text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 0 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException(text);
        }
        return new InetSocketAddress(host, port);
    }
}
