package io.banyantally.standins.demo;

import picocli.CommandLine.Command;

/** Groups the steps that the demo script runs. */
@Command(
        name = "demo-step",
        mixinStandardHelpOptions = true,
        hidden = true,
        subcommands = {PrepareStep.class, WithdrawStep.class, VerifyStep.class},
        description = "Runs one step of the demo.")
public final class DemoStepCommand {}
