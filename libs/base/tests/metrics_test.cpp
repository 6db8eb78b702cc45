#include <base/metrics.h>

#include <boost/test/unit_test.hpp>

using namespace cowsliprock;

// Guards against a text format that omits samples outside the range of the bins.
BOOST_AUTO_TEST_CASE(histogramCountsEverySample)
{
    Metrics metrics;
    metrics.observe("wait.seconds", 0.0);
    metrics.observe("wait.seconds", 0.5);
    metrics.observe("wait.seconds", 5000.0);
    const std::string text = metrics.text();
    BOOST_TEST(text.find("cowsliprock_wait_seconds_bucket{le=\"+Inf\"} 3") != std::string::npos);
    BOOST_TEST(text.find("cowsliprock_wait_seconds_bucket{le=\"1000\"} 2") != std::string::npos);
}

// Guards against an invalid metric name, for which a scraper rejects the whole response.
BOOST_AUTO_TEST_CASE(invalidCharactersInNamesBecomeUnderscores)
{
    Metrics metrics;
    metrics.count("store.read.failed.not found");
    BOOST_TEST(metrics.text().find("cowsliprock_store_read_failed_not_found_total 1")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(counterSumsIncrements)
{
    Metrics metrics;
    metrics.count("requests.whole");
    metrics.count("requests.whole", 2);
    BOOST_TEST(metrics.counter("requests.whole") == 3U);
    BOOST_TEST(metrics.text().find("cowsliprock_requests_whole_total 3") != std::string::npos);
}
