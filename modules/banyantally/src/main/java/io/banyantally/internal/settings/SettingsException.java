package io.banyantally.internal.settings;

import java.util.List;
import java.util.stream.Collectors;

/** The settings can't be used; names everything that is wrong at once. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsProblem> problems;

    /** Creates the failure for a settings source, such as a file name. */
    public SettingsException(String source, List<SettingsProblem> problems) {
        super(source + " has " + problems.size() + " problem" + (problems.size() == 1 ? "" : "s") + ":\n"
                + problems.stream().map(problem -> "  " + problem).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns all that is wrong. */
    public List<SettingsProblem> problems() {
        return problems;
    }
}
