package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/** Reads the fields of a JSON object and collects all problems instead of failing on the first. */
final class FieldReader {

    private static final int MAXIMUM_SHOWN_CHARACTERS = 60;

    private final JsonNode object;
    private final String path;
    private final List<FieldProblem> problems;
    private final Set<String> known = new HashSet<>();

    FieldReader(JsonNode object, String path, List<FieldProblem> problems) {
        this.object = object;
        this.path = path;
        this.problems = problems;
        if (!object.isObject()) {
            addProblem("", object, "an object");
        }
    }

    /** Reads a string that {@code parse} accepts; returns {@code fallback} and records a problem for an invalid one. */
    <T> T text(String name, T fallback, String allowed, Function<String, T> parse) {
        JsonNode node = field(name);
        if (!node.isTextual()) {
            return addProblemAndReturn(name, node, allowed, fallback);
        }
        try {
            return parse.apply(node.textValue());
        } catch (IllegalArgumentException rejected) {
            return addProblemAndReturn(name, node, allowed, fallback);
        }
    }

    int integer(String name, int minimum) {
        JsonNode node = field(name);
        boolean valid = node.isIntegralNumber() && node.canConvertToInt() && node.intValue() >= minimum;
        return valid
                ? node.intValue()
                : addProblemAndReturn(name, node, "a whole number, " + minimum + " or more", minimum);
    }

    /** Reads an integer of any value. */
    int integer(String name) {
        JsonNode node = field(name);
        boolean valid = node.isIntegralNumber() && node.canConvertToInt();
        return valid ? node.intValue() : addProblemAndReturn(name, node, "a whole number", 0);
    }

    double number(String name, String allowed, Predicate<Double> accepted) {
        JsonNode node = field(name);
        boolean valid = node.isNumber() && Double.isFinite(node.doubleValue()) && accepted.test(node.doubleValue());
        return valid ? node.doubleValue() : addProblemAndReturn(name, node, allowed, 1.0);
    }

    boolean bool(String name) {
        JsonNode node = field(name);
        return node.isBoolean() ? node.booleanValue() : addProblemAndReturn(name, node, "true or false", false);
    }

    /** Reads a list of names without duplicates. */
    <T> List<T> names(String name, String allowed, Function<String, T> parse) {
        List<T> values = new ArrayList<>();
        JsonNode list = list(name);
        for (int index = 0; index < list.size(); index++) {
            JsonNode node = list.get(index);
            String itemPath = name + "/" + index;
            try {
                T value = node.isTextual() ? parse.apply(node.textValue()) : null;
                if (value == null) {
                    addProblem(itemPath, node, allowed);
                } else if (values.contains(value)) {
                    addProblem(itemPath, node, "each value once");
                } else {
                    values.add(value);
                }
            } catch (IllegalArgumentException rejected) {
                addProblem(itemPath, node, allowed);
            }
        }
        return values;
    }

    /** Reads a list of objects. */
    <T> List<T> objects(String name, Function<FieldReader, T> read) {
        List<T> values = new ArrayList<>();
        JsonNode list = list(name);
        for (int index = 0; index < list.size(); index++) {
            values.add(read.apply(new FieldReader(list.get(index), path + "/" + name + "/" + index, problems)));
        }
        return values;
    }

    private JsonNode list(String name) {
        JsonNode node = field(name);
        if (!node.isArray()) {
            addProblem(name, node, "a list");
        }
        return node;
    }

    /** Records a problem of a field unless a condition holds, such as one on several fields. */
    void require(boolean holds, String name, Object found, String allowed) {
        if (!holds) {
            problems.add(new FieldProblem(path + "/" + name, String.valueOf(found), allowed));
        }
    }

    /** Records a problem for each field of the object that was not read. */
    void rejectUnknownFields() {
        object.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                addProblem(
                        name,
                        object.get(name),
                        "no such field; use "
                                + String.join(", ", known.stream().sorted().toList()));
            }
        });
    }

    private JsonNode field(String name) {
        known.add(name);
        return object.path(name);
    }

    private <T> T addProblemAndReturn(String name, JsonNode node, String allowed, T fallback) {
        addProblem(name, node, allowed);
        return fallback;
    }

    private void addProblem(String name, JsonNode node, String allowed) {
        String found = node.isMissingNode() ? "missing" : node.toString();
        String shown = found.length() > MAXIMUM_SHOWN_CHARACTERS
                ? found.substring(0, MAXIMUM_SHOWN_CHARACTERS) + "..."
                : found;
        String fieldPath = name.isEmpty() ? path : path + "/" + name;
        problems.add(new FieldProblem(fieldPath.isEmpty() ? "/" : fieldPath, shown, allowed));
    }
}
