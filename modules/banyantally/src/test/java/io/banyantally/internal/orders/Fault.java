package io.banyantally.internal.orders;

import io.banyantally.testing.StoreFault;
import java.time.Duration;

/** A fault that the simulation injects into a process at a step. */
enum Fault {
    KILL {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            site.kill(vm, Duration.ofSeconds(3));
        }
    },
    SHORT_PAUSE {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            vm.pause(Duration.ofMillis(3_500));
        }
    },
    /** The lease expires while its holder is paused, and a successor acts before the holder resumes. */
    PAUSE_LONGER_THAN_LEASE {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            vm.pause(Duration.ofSeconds(17));
        }
    },
    CUT_FROM_PLATFORM {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            vm.cutPlatform(Duration.ofSeconds(9));
        }
    },
    CUT_FROM_ENGINES {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            vm.cutEngines(Duration.ofSeconds(4));
        }
    },
    CUT_FROM_ALL {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            vm.cutPlatform(Duration.ofSeconds(9));
            vm.cutEngines(Duration.ofSeconds(9));
        }
    },
    PLATFORM_DOWN {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            site.platformDown(Duration.ofSeconds(8));
        }
    },
    PLATFORM_SLOW {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            site.platformSlow(Duration.ofSeconds(8));
        }
    },
    LOST_ANSWER {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            vm.failNextCall(StoreFault.LOST_ANSWER);
        }
    },
    LOST_REQUEST {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            vm.failNextCall(StoreFault.LOST_REQUEST);
        }
    },
    /** A write takes effect seconds after its caller has stopped waiting for the answer. */
    LATE_WRITE {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            vm.delayNextWrite();
        }
    },
    ENGINE_CRASH {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            site.crashEngines();
        }
    },
    /** The scope is released while other candidates watch it; the VM restarts 20 s later. */
    CLEAN_HANDOVER {
        @Override
        void injectInto(SimulatedSite site, SimulatedVm vm) {
            vm.release();
            site.simulation.schedule(Duration.ofSeconds(20), () -> site.kill(vm, Duration.ZERO));
        }
    };

    abstract void injectInto(SimulatedSite site, SimulatedVm vm);
}
