/** standin-engine: many model engines in one process. */
#include "common/program.h"
#include "engine/engineprocess.h"

using namespace almondridge;
using namespace almondridge::standins;

int main(int argc, char **argv)
{
    return runProgram([&]() -> Result<std::unique_ptr<EngineProcess>> {
        BOOST_LEAF_AUTO(options, readOptions(argc, argv));
        BOOST_LEAF_AUTO(file, readSettingsFile(options.settings_));
        BOOST_LEAF_AUTO(settings, readProcessSettings(file));
        return EngineProcess::start(settings);
    });
}
