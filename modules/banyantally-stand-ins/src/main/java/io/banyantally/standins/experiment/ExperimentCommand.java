package io.banyantally.standins.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares policies on the same seeds and traces, prints a table and writes an HTML page. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description = "Compares routing and admission policies on simulated engines.")
public final class ExperimentCommand implements Callable<Integer> {
    @Option(names = "--seeds", defaultValue = "10", description = "number of seeds, from 1 (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(
            names = "--loads",
            split = ",",
            defaultValue = "0.7,1.0,1.5",
            description = "offered loads, as fractions of capacity (default: ${DEFAULT-VALUE})")
    private List<Double> loads;

    @Option(
            names = "--sites",
            split = ",",
            defaultValue = "QUITO,SFAX",
            description = "sites (default: ${DEFAULT-VALUE})")
    private List<Site> sites;

    @Option(names = "--policies", split = ",", description = "policies: ${COMPLETION-CANDIDATES} (default: all)")
    private List<PolicyKind> policies = Arrays.asList(PolicyKind.values());

    @Option(names = "--page", description = "file for the HTML page (default: none)")
    private Path page;

    @Override
    public Integer call() throws IOException {
        List<RunResult> results = runAll();
        Comparison comparison = new Comparison(results);
        System.out.print(new TextReport(comparison, sites, loads, policies).render());
        if (page != null) {
            Files.writeString(page, new HtmlReport(comparison, sites, loads, policies).render());
            System.out.println("page=" + page);
        }
        return 0;
    }

    private List<RunResult> runAll() {
        List<Runnable> tasks = new ArrayList<>();
        List<RunResult> results = new ArrayList<>();
        for (Site site : sites) {
            for (double load : loads) {
                for (long seed = 1; seed <= seeds; seed++) {
                    long traceSeed = seed;
                    tasks.add(() -> runTrace(site, load, traceSeed, results));
                }
            }
        }
        tasks.parallelStream().forEach(Runnable::run);
        results.sort(Comparison.ORDER);
        return results;
    }

    private void runTrace(Site site, double load, long seed, List<RunResult> results) {
        Trace trace = TraceRuns.trace(site, load, seed);
        for (PolicyKind policy : policies) {
            RunResult result = TraceRuns.run(trace, policy);
            synchronized (results) {
                results.add(result);
            }
        }
    }
}
