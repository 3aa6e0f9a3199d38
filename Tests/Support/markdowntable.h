#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace Oleander::Testing {

/** Cells of one table row. */
using MarkdownRow = std::vector<std::string>;

/** Rows of all tables in the Markdown file at \a path, without header and delimiter rows. */
inline std::vector<MarkdownRow> markdownRows(const std::string &path)
{
    std::vector<MarkdownRow> rows;
    std::ifstream page(path);
    bool inTable = false;
    for (std::string line; std::getline(page, line);) {
        if (!line.starts_with("| ")) {
            inTable = line.starts_with("|-");
            continue;
        }
        if (!inTable)
            continue;
        MarkdownRow row;
        std::istringstream cells(line.substr(2, line.size() - 4));
        for (std::string cell; std::getline(cells, cell, '|');) {
            const auto first = cell.find_first_not_of(' ');
            const auto last = cell.find_last_not_of(' ');
            row.push_back(first == std::string::npos ? "" : cell.substr(first, last - first + 1));
        }
        rows.push_back(row);
    }
    return rows;
}

} // namespace Oleander::Testing
