package io.banyantally.internal.orders;

import io.banyantally.testing.StoreFault;
import java.time.Duration;

/** What strikes a process at a step. */
enum Fault {
    KILL {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            site.kill(vm, Duration.ofSeconds(3));
        }
    },
    SHORT_PAUSE {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            vm.pause(Duration.ofMillis(3_500));
        }
    },
    /** The lease lapses while its holder is paused, and a successor acts before it wakes. */
    PAUSE_LONGER_THAN_LEASE {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            vm.pause(Duration.ofSeconds(17));
        }
    },
    CUT_FROM_PLATFORM {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            vm.cutPlatform(Duration.ofSeconds(9));
        }
    },
    CUT_FROM_ENGINES {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            vm.cutEngines(Duration.ofSeconds(4));
        }
    },
    CUT_FROM_ALL {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            vm.cutPlatform(Duration.ofSeconds(9));
            vm.cutEngines(Duration.ofSeconds(9));
        }
    },
    PLATFORM_DOWN {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            site.platformDown(Duration.ofSeconds(8));
        }
    },
    PLATFORM_SLOW {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            site.platformSlow(Duration.ofSeconds(8));
        }
    },
    LOST_ANSWER {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            vm.failNextCall(StoreFault.LOST_ANSWER);
        }
    },
    LOST_REQUEST {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            vm.failNextCall(StoreFault.LOST_REQUEST);
        }
    },
    /** A write whose answer was given up takes effect seconds later. */
    LATE_WRITE {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            vm.delayNextWrite();
        }
    },
    ENGINE_CRASH {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            site.crashEngines();
        }
    },
    /** The scope is handed over while other candidates watch it, and the VM comes back later. */
    CLEAN_HANDOVER {
        @Override
        void strike(SimulatedSite site, SimulatedVm vm) {
            vm.release();
            site.simulation.after(Duration.ofSeconds(20), () -> site.kill(vm, Duration.ZERO));
        }
    };

    abstract void strike(SimulatedSite site, SimulatedVm vm);
}
