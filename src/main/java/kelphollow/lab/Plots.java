package kelphollow.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots of a run: requests served over time, and how many peers each instance sees as alive. */
final class Plots {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The number of peers that an instance sees as alive, over the seconds of the run. */
    private record Curve(List<Double> times, List<Double> counts) {
        Curve() {
            this(new ArrayList<>(List.of(0.0)), new ArrayList<>(List.of(0.0)));
        }

        void add(double time, double count) {
            times.add(time);
            counts.add(count);
        }

        double last() {
            return counts.get(counts.size() - 1);
        }
    }

    private Plots() {}

    /** Writes the plots of a run into the folder, leaving out those without data. */
    static void write(Scenario scenario, List<HistoryLine> lines, Path folder) throws IOException {
        writeService(scenario, lines, folder.resolve("service.png"));
        writeMembers(scenario, lines, folder.resolve("members.png"));
    }

    private static void writeService(Scenario scenario, List<HistoryLine> lines, Path file) throws IOException {
        XYChart chart = chart(scenario.name() + ": requests per second", "requests");
        List<RunStatistics.Second> seconds = new RunStatistics(lines).seconds();
        List<Double> times = new ArrayList<>();
        List<Double> served = new ArrayList<>();
        List<Double> notServed = new ArrayList<>();
        for (int i = 0; i < seconds.size(); i++) {
            times.add((double) i);
            served.add((double) seconds.get(i).served());
            notServed.add((double) seconds.get(i).notServed());
        }
        if (!times.isEmpty()) {
            chart.addSeries("served", times, served).setMarker(SeriesMarkers.NONE);
            chart.addSeries("not served", times, notServed).setMarker(SeriesMarkers.NONE);
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }

    private static void writeMembers(Scenario scenario, List<HistoryLine> lines, Path file) throws IOException {
        XYChart chart = chart(scenario.name() + ": peers seen as alive", "instances");
        chart.getStyler().setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Step);
        Map<String, Curve> curves = new TreeMap<>();
        for (HistoryLine line : lines) {
            if (line.is("event") && line.party().matches("i[0-9]+")) {
                add(line, curves.computeIfAbsent(line.party(), party -> new Curve()), scenario.instances() - 1);
            }
        }
        curves.forEach((party, curve) -> chart.addSeries(party, curve.times, curve.counts).setMarker(SeriesMarkers.NONE));
        if (!curves.isEmpty()) {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }

    private static void add(HistoryLine line, Curve curve, int peers) {
        double time = line.at() / MILLIS_PER_SECOND;
        int change = switch (String.valueOf(line.text("event"))) {
            case "joined" -> 1;
            case "failed", "left" -> line.party().equals(line.text("of")) ? 0 : -1;
            default -> 0;
        };
        if (line.isEvent("started")) {
            curve.add(time, 0);
        } else if (change != 0) {
            curve.add(time, Math.max(0, Math.min(peers, curve.last() + change)));
        }
    }

    private static XYChart chart(String title, String axis) {
        System.setProperty("java.awt.headless", "true");
        return new XYChartBuilder().width(WIDTH).height(HEIGHT).title(title).xAxisTitle("seconds").yAxisTitle(axis).build();
    }
}
