package kelphollow.membership;

import java.io.IOException;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import kelphollow.membership.MembershipOutput.Kind;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Measures detection time, false suspicions, false failures and datagrams by size and loss, on the simulated clock. Prints
 * a table and writes a chart: {@code mvn -B -q -Pbench test-compile exec:exec@membership}.
 */
public final class MembershipFigures {
    private static final int[] SIZES = {5, 20, 100, 500};
    private static final int LARGE_SIZE = 500;
    private static final double[] LOSSES = {0, 0.1, 0.3};

    private MembershipFigures() {}

    /** Means over the seeds; times are in protocol periods. */
    private static final class Row {
        private double firstDetection;
        private double lastDetection;
        private double falseSuspicions;
        private double falseFailures;
        private double datagrams;
    }

    /** Prints the table and writes the chart. */
    public static void main(String[] args) throws IOException {
        System.out.println("| size | loss | first sees death, rounds | all see it, rounds | suspicions of living a minute "
            + "and instance | deaths of living | datagrams a second and instance |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        Map<Double, List<Double>> lastDetections = new HashMap<>();
        for (int size : SIZES) {
            for (double loss : LOSSES) {
                if (size >= LARGE_SIZE && loss > 0) {
                    continue;              // takes minutes per run because of the many suspicions
                }
                Row row = measure(size, loss);
                System.out.printf(Locale.ROOT, "| %d | %.1f | %.1f | %.1f | %.2f | %.1f | %.1f |%n", size, loss,
                    row.firstDetection, row.lastDetection, row.falseSuspicions, row.falseFailures, row.datagrams);
                lastDetections.computeIfAbsent(loss, l -> new ArrayList<>()).add(row.lastDetection);
            }
        }
        writeChart(lastDetections);
    }

    private static Row measure(int size, double loss) {
        Row row = new Row();
        int seeds = size >= LARGE_SIZE ? 1 : 5;
        for (int seed = 1; seed <= seeds; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(seed, MembershipSettings.DEFAULTS);
            fleet.startAll(size);
            fleet.run(20_000);
            fleet.loss = loss;
            fleet.events.clear();
            long before = fleet.messages;
            fleet.run(fleet.now + 30_000);
            row.datagrams += (fleet.messages - before) / 30.0 / size / seeds;
            row.falseSuspicions += fleet.events(Kind.SUSPECTED, 0).stream()
                .filter(e -> e.observer().equals("i3")).count() * 2.0 / seeds;
            row.falseFailures += fleet.events(Kind.FAILED, 0).stream()
                .map(SimulatedFleet.ObservedEvent::subject).distinct().count() / (double) seeds;
            fleet.events.clear();
            double from = fleet.now;
            fleet.kill("i4");
            fleet.run(from + 60_000);
            List<SimulatedFleet.ObservedEvent> found = fleet.events(Kind.FAILED, from).stream()
                .filter(e -> e.subject().equals("i4")).toList();
            DoubleSummaryStatistics times = found.stream().mapToDouble(SimulatedFleet.ObservedEvent::at).summaryStatistics();
            row.firstDetection += found.isEmpty() ? Double.NaN : (times.getMin() - from) / 500 / seeds;
            row.lastDetection += found.isEmpty() ? Double.NaN : (times.getMax() - from) / 500 / seeds;
        }
        return row;
    }

    private static void writeChart(Map<Double, List<Double>> lastDetections) throws IOException {
        XYChart chart = new XYChartBuilder().width(800).height(420).title("Rounds until all see a death")
            .xAxisTitle("instances").yAxisTitle("rounds").build();
        chart.getStyler().setXAxisLogarithmic(true);
        List<Double> sizes = new ArrayList<>();
        for (int size : SIZES) {
            sizes.add((double) size);
        }
        for (double loss : LOSSES) {
            List<Double> detections = lastDetections.get(loss);
            chart.addSeries("loss " + loss, sizes.subList(0, detections.size()), detections);
        }
        BitmapEncoder.saveBitmap(chart, "docs/measurements/membership-detection.png", BitmapEncoder.BitmapFormat.PNG);
    }
}
