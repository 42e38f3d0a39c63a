/** almondridge-load: an open-loop load on entry instances, with every answer checked. */
#include "common/program.h"
#include "load/runner.h"

#include <cstdio>

using namespace almondridge;
using namespace almondridge::standins;

int main(int argc, char **argv)
{
    constexpr int FailedStart = 2;
    return tryOr(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(options, readLoadOptions(argc, argv));
            Runner runner(std::move(options));
            BOOST_LEAF_AUTO(summary, runner.run());
            std::printf("%s\n", summary.dump().c_str());
            return 0;
        },
        [](const Error &error) {
            std::fprintf(stderr, "%s\n", describe(error).c_str());
            return FailedStart;
        });
}
