package io.banyantally.standins.measure;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Groups the measurements that run inside one process. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        subcommands = {DecisionCostCommand.class},
        description = "Measures the library in this process.")
public final class MeasureCommand implements Runnable {
    @Override
    public void run() {
        CommandLine.usage(this, System.out);
    }
}
