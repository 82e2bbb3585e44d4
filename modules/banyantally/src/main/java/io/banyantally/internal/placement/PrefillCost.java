package io.banyantally.internal.placement;

import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import java.util.List;

/**
 * The time of a prefill as a linear function of the prompt, whose coefficients are fitted to measured calls by least
 * squares.
 *
 * <p>Whether an engine still caches a session is unknown before a call, so the tokens of the session have a coefficient
 * of their own for home engines and for those to which sessions spill: the fraction of uncached sessions times the time
 * of a token.
 */
final class PrefillCost {

    /** Coefficients: a computed token, a session token at its home, one where sessions spill, a pair of tokens. */
    static final int COEFFICIENTS = 4;

    private static final int PAIRS = COEFFICIENTS - 1;

    /** The upper triangle of the normal equations, their right side and the weight of all calls. */
    static final int SUMS = COEFFICIENTS * (COEFFICIENTS + 1) / 2 + COEFFICIENTS + 1;

    /**
     * Milliseconds for a token before the first measurement: faster than any engine, so that a VM that starts refuses no
     * request because of it.
     */
    private static final double START_MILLIS_PER_TOKEN = 0.001;

    /** Brings the coefficient of token pairs to the magnitude of the others. */
    private static final double PAIR_SCALE = 1e-4;

    /** The weight of the former coefficients in calls; decides only what recent calls leave open. */
    private static final double FORMER_WEIGHT = 0.02;

    private static final double SMALLEST_PIVOT = 1e-12;

    private final double[] coefficients;

    private PrefillCost(double[] coefficients) {
        this.coefficients = coefficients;
    }

    static PrefillCost start() {
        return new PrefillCost(new double[] {START_MILLIS_PER_TOKEN, 0, START_MILLIS_PER_TOKEN, 0});
    }

    /** Returns the expected milliseconds of a prefill. */
    double millis(PromptMetadata prompt, CacheExpectation cache) {
        double[] columns = columns(prompt, cache);
        double session = cache == CacheExpectation.NONE ? 0 : sessionTokens(prompt);
        double perToken = coefficients[0] + coefficients[PAIRS] * prompt.promptTokens() * PAIR_SCALE;
        double sessionMillis = session * Math.min(coefficients[cache == CacheExpectation.HOME ? 1 : 2], perToken);
        return columns[0] * coefficients[0] + columns[PAIRS] * coefficients[PAIRS] + sessionMillis;
    }

    /** Adds a call that took {@code millis} to the sums; each call counts by its relative error. */
    static void add(double[] sums, PromptMetadata prompt, CacheExpectation cache, double millis, double weight) {
        double[] columns = columns(prompt, cache);
        double scale = 1 / Math.max(1.0, ownTokens(prompt) + sessionTokens(prompt));
        int index = 0;
        for (int row = 0; row < COEFFICIENTS; row++) {
            for (int column = row; column < COEFFICIENTS; column++) {
                sums[index++] += weight * columns[row] * columns[column] * scale * scale;
            }
        }
        for (double column : columns) {
            sums[index++] += weight * column * millis * scale * scale;
        }
        sums[index] += weight;
    }

    /** Adds what a call computes, times {@code factor}, to the sums that begin at {@code first}. */
    static void addColumns(double[] sums, int first, PromptMetadata prompt, CacheExpectation cache, double factor) {
        double[] columns = columns(prompt, cache);
        for (int index = 0; index < COEFFICIENTS; index++) {
            sums[first + index] += columns[index] * factor;
        }
    }

    /** Returns the expected milliseconds of the calls that {@link #addColumns} has summed. */
    double millisOfColumns(double[] sums, int first) {
        double millis = 0;
        for (int index = 0; index < COEFFICIENTS; index++) {
            millis += sums[first + index] * coefficients[index];
        }
        return millis;
    }

    static double weight(double[] sums) {
        return sums[SUMS - 1];
    }

    /** Returns the function that fits the calls in {@code sums} best, near this one where they leave it open. */
    PrefillCost fitted(double[] sums) {
        boolean[] zero = new boolean[COEFFICIENTS];
        boolean[] tied = new boolean[COEFFICIENTS];
        while (true) {
            double[] solution = solve(sums, zero, tied);
            int changed = -1;
            for (int session = 1; session < PAIRS; session++) {
                // A session token costs no more than one that is surely computed.
                if (!tied[session] && solution[session] > solution[0] + solution[PAIRS]) {
                    tied[session] = true;
                    changed = session;
                }
            }
            for (int index = 0; index < COEFFICIENTS && changed < 0; index++) {
                if (!tied[index] && solution[index] < 0) {
                    zero[index] = true;
                    changed = index;
                }
            }
            if (changed < 0) {
                solution[0] = Math.max(START_MILLIS_PER_TOKEN, solution[0]);
                return new PrefillCost(solution);
            }
        }
    }

    /** Returns a function between this one and another. */
    PrefillCost towards(PrefillCost other, double fraction) {
        double[] mixed = new double[COEFFICIENTS];
        for (int index = 0; index < COEFFICIENTS; index++) {
            mixed[index] = coefficients[index] + (other.coefficients[index] - coefficients[index]) * fraction;
        }
        return new PrefillCost(mixed);
    }

    /**
     * Solves the normal equations.
     *
     * @param zero the coefficients that are fixed at 0
     * @param tied the coefficients that are fixed at the cost of a computed token of a prompt of usual size
     */
    private double[] solve(double[] sums, boolean[] zero, boolean[] tied) {
        double[][] matrix = new double[COEFFICIENTS][COEFFICIENTS + 1];
        int index = 0;
        for (int row = 0; row < COEFFICIENTS; row++) {
            for (int column = row; column < COEFFICIENTS; column++) {
                matrix[row][column] = sums[index];
                matrix[column][row] = sums[index++];
            }
        }
        for (int row = 0; row < COEFFICIENTS; row++) {
            matrix[row][row] += FORMER_WEIGHT;
            matrix[row][COEFFICIENTS] = sums[index++] + FORMER_WEIGHT * coefficients[row];
        }
        for (int fixed = 0; fixed < COEFFICIENTS; fixed++) {
            if (tied[fixed]) {
                addRowAndColumn(matrix, fixed, 0);
                addRowAndColumn(matrix, fixed, PAIRS);
            }
        }
        for (int fixed = 0; fixed < COEFFICIENTS; fixed++) {
            if (zero[fixed] || tied[fixed]) {
                for (int other = 0; other < COEFFICIENTS; other++) {
                    matrix[fixed][other] = 0;
                    matrix[other][fixed] = 0;
                }
                matrix[fixed][fixed] = 1;
                matrix[fixed][COEFFICIENTS] = 0;
            }
        }
        // The matrix is positive definite, so no row exchange is needed.
        for (int pivot = 0; pivot < COEFFICIENTS; pivot++) {
            for (int row = pivot + 1; row < COEFFICIENTS; row++) {
                double ratio = matrix[row][pivot] / Math.max(SMALLEST_PIVOT, matrix[pivot][pivot]);
                for (int column = pivot; column <= COEFFICIENTS; column++) {
                    matrix[row][column] -= ratio * matrix[pivot][column];
                }
            }
        }
        double[] solution = new double[COEFFICIENTS];
        for (int row = COEFFICIENTS - 1; row >= 0; row--) {
            double rest = matrix[row][COEFFICIENTS];
            for (int column = row + 1; column < COEFFICIENTS; column++) {
                rest -= matrix[row][column] * solution[column];
            }
            solution[row] = zero[row] || tied[row] ? 0 : rest / Math.max(SMALLEST_PIVOT, matrix[row][row]);
        }
        for (int row = 0; row < COEFFICIENTS; row++) {
            solution[row] = tied[row] ? solution[0] + solution[PAIRS] : solution[row];
        }
        return solution;
    }

    private static void addRowAndColumn(double[][] matrix, int from, int to) {
        for (int column = 0; column <= COEFFICIENTS; column++) {
            matrix[to][column] += matrix[from][column];
        }
        for (int row = 0; row < COEFFICIENTS; row++) {
            matrix[row][to] += matrix[row][from];
        }
    }

    private static double[] columns(PromptMetadata prompt, CacheExpectation cache) {
        double session = sessionTokens(prompt);
        double computed = ownTokens(prompt) + (cache == CacheExpectation.NONE ? session : 0);
        return new double[] {
            computed,
            cache == CacheExpectation.HOME ? session : 0,
            cache == CacheExpectation.SPILLED ? session : 0,
            computed * prompt.promptTokens() * PAIR_SCALE
        };
    }

    private static double ownTokens(PromptMetadata prompt) {
        List<PromptPart> parts = prompt.parts();
        return parts.isEmpty() ? prompt.promptTokens() : parts.getLast().tokens();
    }

    private static double sessionTokens(PromptMetadata prompt) {
        List<PromptPart> parts = prompt.parts();
        return parts.size() < 2 ? 0 : parts.get(parts.size() - 2).tokens();
    }

    /** What is expected of the session's cache at an engine. */
    enum CacheExpectation {
        /** The session's home engine. */
        HOME,
        /** An engine to which the session spills. */
        SPILLED,
        /** Any other engine. */
        NONE;

        /** The place of an engine in the hash order of a session; {@code spills} engines follow its home. */
        static CacheExpectation ofRank(int rank, int spills) {
            return rank == 0 ? HOME : rank <= spills ? SPILLED : NONE;
        }
    }
}
