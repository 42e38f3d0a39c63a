/** standin-list: the platform's list of instances. */
#include "common/program.h"
#include "list/listserver.h"

using namespace almondridge;
using namespace almondridge::standins;

int main(int argc, char **argv)
{
    return runProgram([&]() -> Result<ListServer> {
        BOOST_LEAF_AUTO(options, readOptions(argc, argv));
        return ListServer::start(options.listen_, options.workers_);
    });
}
