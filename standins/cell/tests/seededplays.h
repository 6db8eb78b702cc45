#pragma once

#include "testjobs.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace cowsliprock::standincell {

/// A play asks for the status of its jobs at its end, which is longer after some of their ends than
/// a status is kept by default.
constexpr std::chrono::minutes explorationStatusRetention{ 30 };

inline std::uint32_t environmentNumber(const char *variable, std::uint32_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : static_cast<std::uint32_t>(std::atoi(text));
}

/// Seeds of the range that moves on with each landing: tests/first-seed holds the first one.
constexpr std::uint32_t movingSeeds = 300;

inline std::uint32_t firstMovingSeed()
{
    std::ifstream file(COWSLIPROCK_SOURCE_DIR "/tests/first-seed");
    std::uint32_t seed = 0;
    file >> seed;
    BOOST_REQUIRE_MESSAGE(seed > 0U, "tests/first-seed holds no number");
    return seed;
}

/// Seeds of the current test case that fail for an open issue: KNOWN-RED.txt lists them in lines
/// "seed NAME N".
inline std::set<std::uint32_t> knownRedSeeds()
{
    const std::string name = boost::unit_test::framework::current_test_case().p_name;
    std::set<std::uint32_t> seeds;
    std::ifstream file(COWSLIPROCK_SOURCE_DIR "/KNOWN-RED.txt");
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::string kind;
        std::string testCase;
        std::uint32_t seed = 0;
        if (words >> kind >> testCase >> seed && kind == "seed" && testCase == name)
            seeds.insert(seed);
    }
    return seeds;
}

/// The seeds to play: one (COWSLIPROCK_SEED), a range (COWSLIPROCK_FIRST_SEED, COWSLIPROCK_SEEDS),
/// or by default the first \p firstSeeds, the \p regressions and those of the moving range, without
/// those that are known to fail.
inline std::vector<std::uint32_t> seedsToPlay(std::uint32_t firstSeeds,
                                              const std::vector<std::uint32_t> &regressions)
{
    if (const auto single = environmentNumber("COWSLIPROCK_SEED", 0))
        return { single };
    std::vector<std::uint32_t> seeds;
    const auto add = [&seeds](std::uint32_t first, std::uint32_t count) {
        for (std::uint32_t seed = first; seed < first + count; ++seed)
            seeds.push_back(seed);
    };
    const auto first = environmentNumber("COWSLIPROCK_FIRST_SEED", 0);
    const auto count = environmentNumber("COWSLIPROCK_SEEDS", 0);
    if (first > 0 || count > 0) {
        add(first > 0 ? first : 1, count > 0 ? count : firstSeeds);
        return seeds;
    }
    add(1, firstSeeds);
    seeds.insert(seeds.end(), regressions.begin(), regressions.end());
    add(firstMovingSeed(), movingSeeds);
    std::erase_if(seeds, [known = knownRedSeeds()](auto seed) { return known.contains(seed); });
    return seeds;
}

/// Executes an exploration for each seed; a single one has the logs of all nodes printed. Expects
/// no violated guarantee and no accepted job that has not ended.
template <typename Exploration>
void playSeeds(std::uint32_t firstSeeds, const std::vector<std::uint32_t> &regressions = {})
{
    const auto seeds = seedsToPlay(firstSeeds, regressions);
    for (const auto seed : seeds) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Exploration exploration(seed);
            exploration.execute();
            expectNoViolations(exploration.world());
            BOOST_TEST(exploration.world().guarantees().unfinishedJobs() == 0U);
            for (std::uint32_t node = 0; seeds.size() == 1 && node < exploration.nodeCount();
                 ++node)
                std::cout << exploration.world().logOf(node);
        }
    }
}

} // namespace cowsliprock::standincell
