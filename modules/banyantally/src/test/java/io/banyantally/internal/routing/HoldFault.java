package io.banyantally.internal.routing;

import java.time.Duration;
import java.util.List;

/** What strikes a site during a hold. The owner is never the last VM, the sender never the first. */
enum HoldFault {
    NONE {
        @Override
        void strike(HoldWorld world) {}
    },
    SENDER_KILLED {
        @Override
        void strike(HoldWorld world) {
            world.kill(sender(world));
        }
    },
    SENDER_PAUSED {
        @Override
        void strike(HoldWorld world) {
            world.pause(sender(world), Duration.ofSeconds(2));
        }
    },
    SENDER_PAUSED_LONGER_THAN_THE_HOLD {
        @Override
        void strike(HoldWorld world) {
            HoldVm sender = sender(world);
            world.pause(sender, UpstreamHolds.TIME_TO_LIVE.plusSeconds(1));
            world.run(UpstreamHolds.TIME_TO_LIVE.plusSeconds(1));
            world.hub.restoreAll();
        }
    },
    SENDER_CUT_FROM_OWNER {
        @Override
        void strike(HoldWorld world) {
            world.hub.cut(sender(world).peer.vm(), world.ownerVm.peer.vm());
        }
    },
    SENDER_CUT_FROM_ALL {
        @Override
        void strike(HoldWorld world) {
            world.hub.isolate(sender(world).peer.vm());
        }
    },
    SENDER_RESTARTED {
        @Override
        void strike(HoldWorld world) {
            world.restart(sender(world));
        }
    },
    ANSWERS_OF_SENDER_LOST {
        @Override
        void strike(HoldWorld world) {
            world.hub.cutOneWay(sender(world).peer.vm(), world.ownerVm.peer.vm());
        }
    },
    OWNER_KILLED {
        @Override
        void strike(HoldWorld world) {
            if (world.vms.stream().filter(HoldVm::runs).count() > 2) {
                HoldVm before = world.ownerVm;
                world.kill(before);
                world.listed.remove(before.peer.vm());
                electOther(world, before);
            }
        }
    },
    OWNER_REPLACED {
        @Override
        void strike(HoldWorld world) {
            electOther(world, world.ownerVm);
        }
    },
    OWNER_CUT_FROM_ALL {
        @Override
        void strike(HoldWorld world) {
            world.hub.isolate(world.ownerVm.peer.vm());
        }
    };

    abstract void strike(HoldWorld world);

    /** Returns a running VM that is not the owner. */
    static HoldVm sender(HoldWorld world) {
        List<HoldVm> running = world.vms.stream()
                .filter(vm -> vm.runs() && !vm.equals(world.ownerVm))
                .toList();
        return running.isEmpty() ? world.ownerVm : running.getLast();
    }

    /** A successor takes the scope over 11 s after the last renewal: the lease, and the takeover wait. */
    static void electOther(HoldWorld world, HoldVm before) {
        world.owner++;
        world.run(Duration.ofSeconds(11));
        world.vms.stream()
                .filter(vm -> vm.runs() && !vm.equals(before))
                .findFirst()
                .ifPresent(world::elect);
    }
}
