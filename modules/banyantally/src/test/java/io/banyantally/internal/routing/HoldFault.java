package io.banyantally.internal.routing;

import java.time.Duration;
import java.util.List;

/**
 * The faults that are injected during a hold. The owner is never the last VM of the list, the sender never the first.
 */
enum HoldFault {
    NONE {
        @Override
        void inject(HoldSimulation simulation) {}
    },
    SENDER_KILLED {
        @Override
        void inject(HoldSimulation simulation) {
            simulation.kill(sender(simulation));
        }
    },
    SENDER_PAUSED {
        @Override
        void inject(HoldSimulation simulation) {
            simulation.pause(sender(simulation), Duration.ofSeconds(2));
        }
    },
    SENDER_PAUSED_LONGER_THAN_THE_HOLD {
        @Override
        void inject(HoldSimulation simulation) {
            HoldSimulationVm sender = sender(simulation);
            simulation.pause(sender, UpstreamHolds.TIME_TO_LIVE.plusSeconds(1));
            simulation.run(UpstreamHolds.TIME_TO_LIVE.plusSeconds(1));
            simulation.hub.restoreAll();
        }
    },
    SENDER_CUT_FROM_OWNER {
        @Override
        void inject(HoldSimulation simulation) {
            simulation.hub.cut(sender(simulation).peer.vm(), simulation.ownerVm.peer.vm());
        }
    },
    SENDER_CUT_FROM_ALL {
        @Override
        void inject(HoldSimulation simulation) {
            simulation.hub.isolate(sender(simulation).peer.vm());
        }
    },
    SENDER_RESTARTED {
        @Override
        void inject(HoldSimulation simulation) {
            simulation.restart(sender(simulation));
        }
    },
    ANSWERS_OF_SENDER_LOST {
        @Override
        void inject(HoldSimulation simulation) {
            simulation.hub.cutOneWay(sender(simulation).peer.vm(), simulation.ownerVm.peer.vm());
        }
    },
    OWNER_KILLED {
        @Override
        void inject(HoldSimulation simulation) {
            if (simulation.vms.stream().filter(HoldSimulationVm::isRunning).count() > 2) {
                HoldSimulationVm formerOwner = simulation.ownerVm;
                simulation.kill(formerOwner);
                simulation.listedVms.remove(formerOwner.peer.vm());
                replaceOwner(simulation, formerOwner);
            }
        }
    },
    OWNER_REPLACED {
        @Override
        void inject(HoldSimulation simulation) {
            replaceOwner(simulation, simulation.ownerVm);
        }
    },
    OWNER_CUT_FROM_ALL {
        @Override
        void inject(HoldSimulation simulation) {
            simulation.hub.isolate(simulation.ownerVm.peer.vm());
        }
    };

    abstract void inject(HoldSimulation simulation);

    /** Returns the last running VM that is not the owner, or the owner if no other VM is running. */
    static HoldSimulationVm sender(HoldSimulation simulation) {
        List<HoldSimulationVm> running = simulation.vms.stream()
                .filter(vm -> vm.isRunning() && !vm.equals(simulation.ownerVm))
                .toList();
        return running.isEmpty() ? simulation.ownerVm : running.getLast();
    }

    /** Lets another VM take over the scope 11 s after the last renewal, which is the lease plus the takeover wait. */
    static void replaceOwner(HoldSimulation simulation, HoldSimulationVm formerOwner) {
        simulation.ownerFencingNumber++;
        simulation.run(Duration.ofSeconds(11));
        simulation.vms.stream()
                .filter(vm -> vm.isRunning() && !vm.equals(formerOwner))
                .findFirst()
                .ifPresent(simulation::assignOwner);
    }
}
