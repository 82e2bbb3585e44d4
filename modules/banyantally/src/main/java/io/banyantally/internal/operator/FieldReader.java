package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/** Reads the fields of one JSON object and collects every problem, instead of stopping at the first. */
final class FieldReader {

    private static final int MAXIMUM_SHOWN = 60;

    private final JsonNode object;
    private final String path;
    private final List<FieldProblem> problems;
    private final Set<String> known = new HashSet<>();

    FieldReader(JsonNode object, String path, List<FieldProblem> problems) {
        this.object = object;
        this.path = path;
        this.problems = problems;
        if (!object.isObject()) {
            problem("", object, "an object");
        }
    }

    /** Reads text that {@code parse} accepts; {@code fallback} stands in for a field with a problem. */
    <T> T text(String name, T fallback, String allowed, Function<String, T> parse) {
        JsonNode node = field(name);
        if (!node.isTextual()) {
            return wrong(name, node, allowed, fallback);
        }
        try {
            return parse.apply(node.textValue());
        } catch (IllegalArgumentException rejected) {
            return wrong(name, node, allowed, fallback);
        }
    }

    int whole(String name, int minimum) {
        JsonNode node = field(name);
        boolean valid = node.isIntegralNumber() && node.canConvertToInt() && node.intValue() >= minimum;
        return valid ? node.intValue() : wrong(name, node, "a whole number, " + minimum + " or more", minimum);
    }

    /** Reads any whole number. */
    int whole(String name) {
        JsonNode node = field(name);
        boolean valid = node.isIntegralNumber() && node.canConvertToInt();
        return valid ? node.intValue() : wrong(name, node, "a whole number", 0);
    }

    double number(String name, String allowed, Predicate<Double> accepted) {
        JsonNode node = field(name);
        boolean valid = node.isNumber() && Double.isFinite(node.doubleValue()) && accepted.test(node.doubleValue());
        return valid ? node.doubleValue() : wrong(name, node, allowed, 1.0);
    }

    boolean flag(String name) {
        JsonNode node = field(name);
        return node.isBoolean() ? node.booleanValue() : wrong(name, node, "true or false", false);
    }

    /** Reads a list of different names. */
    <T> List<T> names(String name, String allowed, Function<String, T> parse) {
        List<T> values = new ArrayList<>();
        JsonNode list = list(name);
        for (int index = 0; index < list.size(); index++) {
            JsonNode node = list.get(index);
            String place = name + "/" + index;
            try {
                T value = node.isTextual() ? parse.apply(node.textValue()) : null;
                if (value == null) {
                    problem(place, node, allowed);
                } else if (values.contains(value)) {
                    problem(place, node, "each value once");
                } else {
                    values.add(value);
                }
            } catch (IllegalArgumentException rejected) {
                problem(place, node, allowed);
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
            problem(name, node, "a list");
        }
        return node;
    }

    /** Reports a rule over several fields. */
    void require(boolean holds, String name, Object found, String allowed) {
        if (!holds) {
            problems.add(new FieldProblem(path + "/" + name, String.valueOf(found), allowed));
        }
    }

    /** Reports the fields that were never read. */
    void finish() {
        object.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                problem(
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

    private <T> T wrong(String name, JsonNode node, String allowed, T fallback) {
        problem(name, node, allowed);
        return fallback;
    }

    private void problem(String name, JsonNode node, String allowed) {
        String found = node.isMissingNode() ? "missing" : node.toString();
        String shown = found.length() > MAXIMUM_SHOWN ? found.substring(0, MAXIMUM_SHOWN) + "..." : found;
        String place = name.isEmpty() ? path : path + "/" + name;
        problems.add(new FieldProblem(place.isEmpty() ? "/" : place, shown, allowed));
    }
}
