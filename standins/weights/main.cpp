/** standin-weights: the platform's weight store. */
#include "common/program.h"
#include "weights/weightserver.h"

using namespace almondridge;
using namespace almondridge::standins;

int main(int argc, char **argv)
{
    return runProgram([&]() -> Result<WeightServer> {
        BOOST_LEAF_AUTO(options, readOptions(argc, argv));
        return WeightServer::start(options.listen_, options.workers_);
    });
}
