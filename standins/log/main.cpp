/** standin-log: the platform's append-only log. */
#include "common/program.h"
#include "log/logserver.h"

using namespace almondridge;
using namespace almondridge::standins;

int main(int argc, char **argv)
{
    return runProgram([&]() -> Result<LogServer> {
        BOOST_LEAF_AUTO(options, readOptions(argc, argv));
        return LogServer::start(options.listen_, options.workers_);
    });
}
