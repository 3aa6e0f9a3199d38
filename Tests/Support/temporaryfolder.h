#pragma once

#include <filesystem>
#include <string>
#include <string_view>

namespace Oleander::Testing {

/**
 * \class TemporaryFolder
 * \brief A new folder that the destructor removes with its content.
 */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::filesystem::path &path() const { return path_; }
    /** Writes a file in the folder and returns its path. */
    std::string write(const std::string &name, std::string_view content) const;

private:
    std::filesystem::path path_;
};

} // namespace Oleander::Testing
