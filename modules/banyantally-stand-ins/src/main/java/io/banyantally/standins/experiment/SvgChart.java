package io.banyantally.standins.experiment;

import io.banyantally.standins.experiment.Comparison.Spread;
import java.util.List;
import java.util.Locale;

/** Renders charts as inline SVG. */
final class SvgChart {
    private static final int WIDTH = 560;
    private static final int HEIGHT = 240;
    private static final int LEFT_MARGIN = 56;
    private static final int TOP_MARGIN = 28;
    private static final int BOTTOM_MARGIN = 60;
    private static final int GRID_LINES = 4;
    private static final List<String> COLOURS =
            List.of("#0b6e4f", "#b5651d", "#5b5ea6", "#c0392b", "#7f8c8d", "#d4a017");

    private SvgChart() {}

    /** A bar with the spread of its value. */
    record Bar(String label, Spread spread) {}

    /** A line through evenly spaced values. */
    record Line(String label, double[] values) {}

    /** Draws the medians as bars and minimum to maximum as whiskers. */
    static String bars(String title, List<Bar> bars) {
        double top =
                bars.stream().mapToDouble(bar -> bar.spread().maximum()).max().orElse(1);
        StringBuilder svg = begin(title, top);
        double step = (double) (WIDTH - LEFT_MARGIN) / Math.max(1, bars.size());
        for (int index = 0; index < bars.size(); index++) {
            Bar bar = bars.get(index);
            double x = LEFT_MARGIN + index * step + step * 0.2;
            double middle = x + step * 0.3;
            double y = y(bar.spread().median(), top);
            svg.append(String.format(
                    Locale.ROOT,
                    "<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' fill='%s'/>",
                    x,
                    y,
                    step * 0.6,
                    HEIGHT - BOTTOM_MARGIN - y,
                    colour(index)));
            svg.append(String.format(
                    Locale.ROOT,
                    "<line x1='%.1f' x2='%.1f' y1='%.1f' y2='%.1f' stroke='#222'/>",
                    middle,
                    middle,
                    y(bar.spread().minimum(), top),
                    y(bar.spread().maximum(), top)));
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x='%.1f' y='%d' font-size='10' text-anchor='middle'>%s</text>",
                    middle,
                    HEIGHT - BOTTOM_MARGIN + 16,
                    bar.label()));
        }
        return svg.append("</svg>\n").toString();
    }

    /** Draws lines over the seconds of a trace. */
    static String lines(String title, int secondsPerValue, List<Line> lines) {
        double top = 1;
        for (Line line : lines) {
            for (double value : line.values()) {
                top = Math.max(top, value);
            }
        }
        StringBuilder svg = begin(title + ", over the seconds of the trace", top);
        for (int index = 0; index < lines.size(); index++) {
            double[] values = lines.get(index).values();
            double step = (double) (WIDTH - LEFT_MARGIN) / Math.max(1, values.length - 1);
            svg.append("<polyline fill='none' stroke-width='1.5' stroke='")
                    .append(colour(index))
                    .append("' points='");
            for (int point = 0; point < values.length; point++) {
                svg.append(String.format(Locale.ROOT, "%.1f,%.1f ", LEFT_MARGIN + point * step, y(values[point], top)));
            }
            svg.append("'/>");
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x='%d' y='%d' font-size='10' fill='%s'>%s</text>",
                    LEFT_MARGIN + index % 3 * 170,
                    HEIGHT - BOTTOM_MARGIN + 30 + index / 3 * 14,
                    colour(index),
                    lines.get(index).label()));
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x='%d' y='%d' font-size='10' text-anchor='end'>%d s</text>",
                    WIDTH,
                    HEIGHT - BOTTOM_MARGIN + 14,
                    (values.length - 1) * secondsPerValue));
        }
        return svg.append("</svg>\n").toString();
    }

    private static StringBuilder begin(String title, double top) {
        StringBuilder svg = new StringBuilder();
        svg.append(String.format(
                Locale.ROOT,
                "<svg viewBox='0 0 %d %d' width='%d' role='img' font-family='sans-serif'>",
                WIDTH,
                HEIGHT,
                WIDTH));
        svg.append(String.format(
                Locale.ROOT,
                "<title>%s</title><text x='%d' y='16' font-size='13'>%s</text>",
                title,
                LEFT_MARGIN,
                title));
        for (int line = 0; line <= GRID_LINES; line++) {
            double value = top * line / GRID_LINES;
            svg.append(String.format(
                    Locale.ROOT,
                    "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' stroke='#ddd'/>",
                    LEFT_MARGIN,
                    WIDTH,
                    y(value, top),
                    y(value, top)));
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x='%d' y='%.1f' font-size='10' text-anchor='end'>%.2f</text>",
                    LEFT_MARGIN - 6,
                    y(value, top) + 3,
                    value));
        }
        return svg;
    }

    private static double y(double value, double top) {
        return HEIGHT
                - BOTTOM_MARGIN
                - (HEIGHT - BOTTOM_MARGIN - TOP_MARGIN) * Math.min(1, value / Math.max(1e-9, top));
    }

    private static String colour(int index) {
        return COLOURS.get(index % COLOURS.size());
    }
}
