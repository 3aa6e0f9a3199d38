#include "Support/temporaryfolder.h"

#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace Oleander::Testing {

TemporaryFolder::TemporaryFolder()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "oleander-test-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder");
    path_ = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

std::string TemporaryFolder::write(const std::string &name, std::string_view content) const
{
    const auto file = path_ / name;
    std::ofstream(file, std::ios::binary) << content;
    return file.string();
}

} // namespace Oleander::Testing
