#pragma once

#include "testjobs.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <cstdlib>
#include <iostream>

namespace cowsliprock::standincell {

/// A play asks for the status of its jobs at its end, which is longer after some of their ends than
/// a status is kept by default.
constexpr std::chrono::minutes explorationStatusRetention{ 30 };

inline std::uint32_t environmentNumber(const char *variable, std::uint32_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : static_cast<std::uint32_t>(std::atoi(text));
}

/// Executes an exploration for a range of seeds (COWSLIPROCK_FIRST_SEED, COWSLIPROCK_SEEDS), or for
/// a single one (COWSLIPROCK_SEED) with the logs of all nodes printed. Expects no violated
/// guarantee and no accepted job that has not ended.
template <typename Exploration>
void playSeeds(std::uint32_t defaultSeeds)
{
    const auto singleSeed = environmentNumber("COWSLIPROCK_SEED", 0);
    const auto first =
        singleSeed == 0 ? environmentNumber("COWSLIPROCK_FIRST_SEED", 1) : singleSeed;
    const auto count = singleSeed == 0 ? environmentNumber("COWSLIPROCK_SEEDS", defaultSeeds) : 1;
    BOOST_REQUIRE(count > 0U);
    for (std::uint32_t seed = first; seed < first + count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Exploration exploration(seed);
            exploration.execute();
            expectNoViolations(exploration.world());
            BOOST_TEST(exploration.world().guarantees().unfinishedJobs() == 0U);
            for (std::uint32_t node = 0; seed == singleSeed && node < exploration.nodeCount();
                 ++node)
                std::cout << exploration.world().logOf(node);
        }
    }
}

} // namespace cowsliprock::standincell
