#include "almondridge/app/commandline.h"

int main(int argc, char **argv)
{
    return static_cast<int>(almondridge::app::runCommandLine(argc, argv));
}
