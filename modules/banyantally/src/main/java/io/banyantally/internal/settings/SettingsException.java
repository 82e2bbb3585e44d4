package io.banyantally.internal.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when settings are invalid; lists all problems. */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsProblem> problems;

    /** Creates the exception for a settings source, such as a file name. */
    public SettingsException(String source, List<SettingsProblem> problems) {
        super(source + " has " + problems.size() + " problem" + (problems.size() == 1 ? "" : "s") + ":\n"
                + problems.stream().map(problem -> "  " + problem).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns all problems found. */
    public List<SettingsProblem> problems() {
        return problems;
    }
}
