/** standin-service: many plain service instances in one process. */
#include "common/program.h"
#include "service/serviceprocess.h"

using namespace almondridge;
using namespace almondridge::standins;

int main(int argc, char **argv)
{
    return runProgram([&]() -> Result<std::unique_ptr<ServiceProcess>> {
        BOOST_LEAF_AUTO(options, readOptions(argc, argv));
        BOOST_LEAF_AUTO(file, readSettingsFile(options.settings_));
        BOOST_LEAF_AUTO(settings, readServiceSettings(file));
        return ServiceProcess::start(settings);
    });
}
