#include "cluster.h"

#include <boost/test/unit_test.hpp>

#include <iostream>

using namespace cowsliprock;
using namespace cowsliprock::test;
using namespace std::chrono_literals;

namespace {

Cluster startedCluster(std::size_t daemons = 3)
{
    Cluster::Options options;
    options.daemons = daemons;
    options.trace = true;
    return Cluster(options);
}

} // namespace

// Guards against an empty store without owners and against an uneven first assignment.
BOOST_AUTO_TEST_CASE(firstStartSharesThePartitions)
{
    Cluster cluster = startedCluster();
    for (std::size_t index = 0; index < 3; ++index)
        cluster.start(index);
    cluster.run(10s);
    for (std::size_t index = 0; index < 3; ++index) {
        std::cout << index << " " << cluster.usable(index).size() << " "
                  << cluster.daemon(index).calls["get"] << " " << cluster.daemon(index).calls["put"]
                  << "\n";
        BOOST_TEST(cluster.usable(index).size() == 2U);
    }
    cluster.kill(0);
    for (int i = 0; i < 30; ++i) {
        cluster.run(1s);
        std::cout << i << " " << cluster.usableCount() << "\n";
    }
    for (const auto &t : cluster.trace())
        std::cout << t << '\n';
    for (const auto &v : cluster.violations())
        std::cout << v << "\n";
    BOOST_TEST(cluster.violations().empty());
}
