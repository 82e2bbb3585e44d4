package io.banyantally.internal.admission;

/** Lets every request in at once and allows two retries for each. For tests of other parts. */
public final class UnlimitedAdmission implements Admission {

    private static final int RETRIES = 2;

    @Override
    public AdmissionTicket admit(AdmissionRequest request) {
        return new Ticket();
    }

    private static final class Ticket implements AdmissionTicket {

        private int retries = RETRIES;

        @Override
        public void firstTokenSent() {}

        @Override
        public boolean tryRetry() {
            return retries-- > 0;
        }

        @Override
        public void finish(int outputTokens) {}

        @Override
        public void close() {}
    }
}
