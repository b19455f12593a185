#include <catch2/catch.hpp>

#include <thread>

#include "observe/metrics.h"

using namespace monsoon;

TEST_CASE("counters and histograms add up over threads", "[metrics]")
{
  Metrics metrics;
  NodeMetrics node(metrics);
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i)
    threads.emplace_back([&] {
      for (int n = 0; n < 1000; ++n) {
        node.AddCrossZoneBytes(2);
        node.RecordWaiting(WorkKind::Request, Priority::Urgent, milliseconds(5));
      }
    });
  for (std::thread& it : threads)
    it.join();
  const std::string text = metrics.Render();
  CHECK(text.find("monsoonstage_cross_zone_bytes_total 8000\n") != std::string::npos);
  CHECK(
    text.find("monsoonstage_waiting_seconds_count{kind=\"request\",priority=\"urgent\"} 4000\n") !=
    std::string::npos);
  CHECK(text.find("le=\"+Inf\"} 4000\n") != std::string::npos);
}

TEST_CASE("quantiles are within the resolution of the axis", "[metrics]")
{
  Histogram histogram;
  CHECK(histogram.Read().GetQuantile(0.5) == 0);
  for (int i = 1; i <= 1000; ++i)
    histogram.Record(milliseconds(i));
  const HistogramSnapshot snapshot = histogram.Read();
  CHECK(snapshot.mCount == 1000);
  CHECK(snapshot.mMax == Approx(1.0));
  CHECK(snapshot.mSum == Approx(500.5));
  CHECK(snapshot.GetQuantile(0.5) == Approx(0.5).epsilon(0.06));
  CHECK(snapshot.GetQuantile(0.99) == Approx(0.99).epsilon(0.06));
  CHECK(snapshot.GetQuantile(1.0) == Approx(1.0));
  histogram.Record(1e9);
  histogram.Record(-1.0);
  CHECK(histogram.Read().mCount == 1002);
  CHECK(histogram.Read().GetQuantile(1.0) == Approx(1e9));
}

TEST_CASE("series of one name with different labels are counted separately", "[metrics]")
{
  Metrics metrics;
  NodeMetrics node(metrics);
  node.CountRefusal(FailureKind::CapacityFull);
  node.CountRefusal(FailureKind::Draining);
  node.CountRefusal(FailureKind::Draining);
  node.SetPacking("cores", 0.5);
  const std::string text = metrics.Render();
  CHECK(text.find("monsoonstage_refusals_total{reason=\"capacity_full\"} 1\n") !=
        std::string::npos);
  CHECK(text.find("monsoonstage_refusals_total{reason=\"draining\"} 2\n") != std::string::npos);
  CHECK(text.find("monsoonstage_packing_ratio{resource=\"cores\"} 0.5\n") != std::string::npos);
}
