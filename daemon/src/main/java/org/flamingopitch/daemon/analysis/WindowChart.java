package org.flamingopitch.daemon.analysis;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToLongFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Draws arrivals, rejections and completions per window. The only class that uses the plotting library, so that the
 * library and the graphics classes of the Java runtime are loaded only when a chart is drawn.
 */
public final class WindowChart {

    private static final int WIDTH_PIXELS = 1200;

    private static final int HEIGHT_PIXELS = 500;

    private WindowChart() {}

    /**
     * Writes the chart.
     *
     * @param windows the windows in which something happened, in order
     * @param file the PNG file to write
     * @throws IOException if the file cannot be written
     */
    public static void write(List<WindowCounts> windows, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYSeriesCollection series = new XYSeriesCollection();
        series.addSeries(series("arrivals", windows, WindowCounts::arrivals));
        series.addSeries(series("rejections", windows, WindowCounts::rejections));
        series.addSeries(series("completions", windows, WindowCounts::completions));
        JFreeChart chart = ChartFactory.createXYLineChart(
                "Jobs per window of 2 s", "s", "jobs", series, PlotOrientation.VERTICAL, true, false, false);
        chart.getXYPlot().setBackgroundPaint(Color.WHITE);
        chart.getXYPlot().setDomainGridlinePaint(Color.LIGHT_GRAY);
        chart.getXYPlot().setRangeGridlinePaint(Color.LIGHT_GRAY);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, WIDTH_PIXELS, HEIGHT_PIXELS);
    }

    /** Creates a line that is 0 in windows in which nothing happened. */
    private static XYSeries series(String name, List<WindowCounts> windows, ToLongFunction<WindowCounts> count) {
        XYSeries series = new XYSeries(name);
        for (WindowCounts window : windows) {
            series.addOrUpdate(window.startSeconds(), count.applyAsLong(window));
        }
        for (WindowCounts window : windows) {
            addZeroIfAbsent(series, window.startSeconds() - WindowCounts.WINDOW_SECONDS);
            addZeroIfAbsent(series, window.startSeconds() + WindowCounts.WINDOW_SECONDS);
        }
        return series;
    }

    private static void addZeroIfAbsent(XYSeries series, double seconds) {
        if (series.indexOf(seconds) < 0) {
            series.add(seconds, 0);
        }
    }
}
