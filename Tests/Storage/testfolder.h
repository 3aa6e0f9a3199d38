#pragma once

#include "Control/replicaoutput.h"
#include "Storage/datafolder.h"

#include <catch2/catch.hpp>
#include <sys/resource.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace Oleander {

/** Temporary folder of one test, removed by the destructor. */
class TestFolder
{
public:
    /** \a name is the path of the data folder in the temporary folder. */
    explicit TestFolder(std::string name = "/data") : name_(std::move(name))
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "oleander-XXXXXX").string();
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        root_ = pattern;
    }
    ~TestFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(root_, ignored);
    }
    TestFolder(const TestFolder &) = delete;
    TestFolder &operator=(const TestFolder &) = delete;

    const std::string &root() const { return root_; }
    std::string path() const { return root_ + name_; }
    /** Path of log segment \a number. */
    std::string segment(int number) const
    {
        const std::string digits = std::to_string(number);
        return path() + "/log/segment-" + std::string(20 - digits.size(), '0') + digits + ".log";
    }

private:
    std::string name_;
    std::string root_;
};

/** Simulates a full disk by limiting the file size of this process to \a bytes within its scope. */
class FileSizeLimit
{
public:
    explicit FileSizeLimit(rlim_t bytes)
    {
        std::signal(SIGXFSZ, SIG_IGN);
        REQUIRE(::getrlimit(RLIMIT_FSIZE, &before_) == 0);
        rlimit limited = before_;
        limited.rlim_cur = bytes;
        REQUIRE(::setrlimit(RLIMIT_FSIZE, &limited) == 0);
    }
    ~FileSizeLimit() { ::setrlimit(RLIMIT_FSIZE, &before_); }
    FileSizeLimit(const FileSizeLimit &) = delete;
    FileSizeLimit &operator=(const FileSizeLimit &) = delete;

private:
    rlimit before_ = {};
};

inline std::string fileBytes(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

inline void setFileBytes(const std::string &path, const std::string &bytes)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << bytes;
}

inline DataFolder openFolder(const TestFolder &folder)
{
    auto result = DataFolder::open(folder.path());
    INFO((result ? std::string() : result.error().text()));
    REQUIRE(result.has_value());
    return std::move(*result);
}

/** Returns a batch that writes one entry per command, starting at \a firstIndex. */
inline WriteBatch entriesAt(std::uint64_t firstIndex, std::initializer_list<std::string> commands,
                            std::uint64_t term = 1)
{
    WriteBatch batch;
    batch.firstIndex = firstIndex;
    for (const std::string &command : commands)
        batch.entries.push_back({term, EntryKind::Command, command});
    return batch;
}

inline WriteBatch hardStateOf(std::uint64_t term, std::uint64_t incarnation)
{
    WriteBatch batch;
    batch.hardState = HardState{term, "a", incarnation};
    return batch;
}

inline std::vector<std::string> commandsOf(const StoredReplica &stored)
{
    std::vector<std::string> commands;
    for (const LogEntry &entry : stored.entries)
        commands.push_back(entry.bytes);
    return commands;
}

inline Snapshot snapshotAt(std::uint64_t index, std::uint64_t term, const std::string &data)
{
    return {index, term, Membership{{{"a", 1, true}}}, std::make_shared<const std::string>(data)};
}

} // namespace Oleander
