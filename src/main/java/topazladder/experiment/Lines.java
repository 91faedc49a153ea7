package topazladder.experiment;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Curves over one time axis, one chart a measure, on a page that needs nothing else. */
final class Lines {
    private static final int WIDTH = 1200;
    private static final int HEIGHT = 190;

    private final String title;
    private final double from;
    private final double to;
    private final List<String> charts = new ArrayList<>();

    /** @param from the axis's first second, and its last */
    Lines(String title, double from, double to) {
        this.title = title;
        this.from = from;
        this.to = to;
    }

    /** @param series by name: times and values */
    void add(String name, Map<String, double[][]> series) throws IOException {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(name).build();
        chart.getStyler().setXAxisMin(from).setXAxisMax(to).setYAxisMin(0.0).setXAxisDecimalPattern("0");
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        series.forEach((label, points) -> {
            if (points[0].length > 0) {
                chart.addSeries(label, points[0], points[1]).setMarker(SeriesMarkers.NONE);
            }
        });
        if (chart.getSeriesMap().isEmpty()) {
            return;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        String svg = out.toString(StandardCharsets.UTF_8);
        charts.add(svg.substring(Math.max(0, svg.indexOf("<svg"))));
    }

    /** @param table as experiments print it, below the charts */
    String page(String table) {
        StringBuilder page = new StringBuilder("<!doctype html>\n<meta charset=\"utf-8\">\n<title>").append(title)
                .append("</title>\n<style>body{font-family:sans-serif}pre{font-size:12px}</style>\n<h1>").append(title)
                .append("</h1>\n");
        charts.forEach(c -> page.append(c).append('\n'));
        return page.append("<pre>").append(table.replace("&", "&amp;").replace("<", "&lt;")).append("</pre>\n")
                .toString();
    }
}
