package io.banyantally.internal.routing;

import java.time.Duration;
import java.util.List;

/** What strikes a site during a hold. The owner is never the last VM, the sender never the first. */
enum HoldFault {
    NONE {
        @Override
        void inject(HoldSimulation world) {}
    },
    SENDER_KILLED {
        @Override
        void inject(HoldSimulation world) {
            world.kill(sender(world));
        }
    },
    SENDER_PAUSED {
        @Override
        void inject(HoldSimulation world) {
            world.pause(sender(world), Duration.ofSeconds(2));
        }
    },
    SENDER_PAUSED_LONGER_THAN_THE_HOLD {
        @Override
        void inject(HoldSimulation world) {
            HoldSimulationVm sender = sender(world);
            world.pause(sender, UpstreamHolds.TIME_TO_LIVE.plusSeconds(1));
            world.run(UpstreamHolds.TIME_TO_LIVE.plusSeconds(1));
            world.hub.restoreAll();
        }
    },
    SENDER_CUT_FROM_OWNER {
        @Override
        void inject(HoldSimulation world) {
            world.hub.cut(sender(world).peer.vm(), world.ownerVm.peer.vm());
        }
    },
    SENDER_CUT_FROM_ALL {
        @Override
        void inject(HoldSimulation world) {
            world.hub.isolate(sender(world).peer.vm());
        }
    },
    SENDER_RESTARTED {
        @Override
        void inject(HoldSimulation world) {
            world.restart(sender(world));
        }
    },
    ANSWERS_OF_SENDER_LOST {
        @Override
        void inject(HoldSimulation world) {
            world.hub.cutOneWay(sender(world).peer.vm(), world.ownerVm.peer.vm());
        }
    },
    OWNER_KILLED {
        @Override
        void inject(HoldSimulation world) {
            if (world.vms.stream().filter(HoldSimulationVm::isRunning).count() > 2) {
                HoldSimulationVm before = world.ownerVm;
                world.kill(before);
                world.listedVms.remove(before.peer.vm());
                replaceOwner(world, before);
            }
        }
    },
    OWNER_REPLACED {
        @Override
        void inject(HoldSimulation world) {
            replaceOwner(world, world.ownerVm);
        }
    },
    OWNER_CUT_FROM_ALL {
        @Override
        void inject(HoldSimulation world) {
            world.hub.isolate(world.ownerVm.peer.vm());
        }
    };

    abstract void inject(HoldSimulation world);

    /** Returns a running VM that is not the owner. */
    static HoldSimulationVm sender(HoldSimulation world) {
        List<HoldSimulationVm> running = world.vms.stream()
                .filter(vm -> vm.isRunning() && !vm.equals(world.ownerVm))
                .toList();
        return running.isEmpty() ? world.ownerVm : running.getLast();
    }

    /** A successor takes the scope over 11 s after the last renewal: the lease, and the takeover wait. */
    static void replaceOwner(HoldSimulation world, HoldSimulationVm before) {
        world.ownerFencingNumber++;
        world.run(Duration.ofSeconds(11));
        world.vms.stream()
                .filter(vm -> vm.isRunning() && !vm.equals(before))
                .findFirst()
                .ifPresent(world::elect);
    }
}
