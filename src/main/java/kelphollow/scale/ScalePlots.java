package kelphollow.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots figures of several runs over the number of instances, and of each run over time. Stateless. */
final class ScalePlots {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 420;

    private ScalePlots() {}

    /** Writes {@code over-size-*.png} and {@code over-time-*.png} into the folder. */
    static void write(List<ScaleReport> reports, List<List<Samples.Moment>> moments, Path folder) throws IOException {
        plotOverSize(reports, folder, "bytes", "bytes sent a second by instance", r -> r.figure("bytes_per_second", "mean"));
        plotOverSize(reports, folder, "fresh", "share of parts seen fresh", r -> r.figure("parts_fresh_share", "mean"));
        plotOverSize(reports, folder, "drain", "drain kept by all: p99 in ms", r -> r.figure("drain_ms", "p99"));
        plotOverSize(reports, folder, "core", "share of a core by instance", r -> r.number("core_share"));
        plotOverTime(reports, moments, folder, "bytes", "bytes sent a second by instance", Samples.Moment::bytesOut);
        plotOverTime(reports, moments, folder, "fresh", "share of parts seen fresh", Samples.Moment::freshShare);
    }

    private static void plotOverSize(List<ScaleReport> reports, Path folder, String name, String title,
        ToDoubleFunction<ScaleReport> figure) throws IOException {
        XYChart chart = chart(title, "instances");
        chart.addSeries(title, reports.stream().map(r -> r.number("instances")).toList(),
            reports.stream().map(figure::applyAsDouble).toList());
        save(chart, folder, "over-size-" + name);
    }

    private static void plotOverTime(List<ScaleReport> reports, List<List<Samples.Moment>> moments, Path folder, String name,
        String title, ToDoubleFunction<Samples.Moment> figure) throws IOException {
        XYChart chart = chart(title, "seconds");
        for (int i = 0; i < reports.size(); i++) {
            if (!moments.get(i).isEmpty()) {
                chart.addSeries(i + ": " + Math.round(reports.get(i).number("instances")) + " instances",
                    moments.get(i).stream().map(Samples.Moment::seconds).toList(),
                    moments.get(i).stream().map(figure::applyAsDouble).toList()).setMarker(SeriesMarkers.NONE);
            }
        }
        save(chart, folder, "over-time-" + name);
    }

    private static XYChart chart(String title, String axis) {
        System.setProperty("java.awt.headless", "true");
        return new XYChartBuilder().width(WIDTH_PIXELS).height(HEIGHT_PIXELS).title(title).xAxisTitle(axis).build();
    }

    private static void save(XYChart chart, Path folder, String name) throws IOException {
        BitmapEncoder.saveBitmap(chart, folder.resolve(name + ".png").toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
