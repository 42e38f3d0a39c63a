#include "textfile.h"

#include <cstdio>
#include <fstream>
#include <iterator>

namespace almondridge::app {

Result<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return fail(ErrorKind::NotFound, "cannot read '" + path + "'",
                    "name a file that exists and may be read");
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

Result<void> writeTextFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.flush();
    if (!file) {
        return fail(ErrorKind::Unavailable, "cannot write '" + path + "'",
                    "name a file in a folder that may be written");
    }
    return {};
}

ExitCode reportInvalid(const std::string &path, const Error &error)
{
    std::fprintf(stderr, "%s: %s\n", path.c_str(), describe(error).c_str());
    return error.kind_ == ErrorKind::InvalidInput ? ExitCode::Invalid : ExitCode::Failed;
}

} // namespace almondridge::app
