#pragma once

#include "Protocol/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace Oleander::Placement {

/**
 * \class CapacityTree
 * \brief Finds workers with enough free resources without looking at all of them.
 *
 * A binary tree over the workers' indices; each node holds the largest free amount of each resource
 * in its subtree. If a size exceeds one of these maxima, no worker below the node has room for it.
 * The three maxima may come from different workers, so a search may have to backtrack.
 */
class CapacityTree
{
public:
    /** Sets the free resources of \a worker; workers are numbered from 0 without large gaps. */
    void set(std::size_t worker, const Resources &available);
    /** Excludes \a worker from searches until its resources are set again. */
    void exclude(std::size_t worker);

    /** Returns the lowest-numbered worker from \a from on with room for \a size. */
    std::optional<std::size_t> findFirst(const Resources &size, std::size_t from = 0) const;
    /**
     * Returns a worker with room for \a size, or nothing when there is none. The search descends
     * into a random child at each node, so that repeated searches return different workers.
     */
    std::optional<std::size_t> findAny(const Resources &size, std::minstd_rand &random) const;

    std::size_t size() const { return workerCount_; }

private:
    struct Node
    {
        Resources maxAvailable;
        bool isSearchable = false;
    };

    bool mayFit(std::size_t node, const Resources &size) const;
    void update(std::size_t worker, const Node &leaf);
    void resize(std::size_t workers);
    std::optional<std::size_t> findFirstBelow(std::size_t node, std::size_t begin,
                                              std::size_t width, const Resources &size,
                                              std::size_t from) const;
    std::optional<std::size_t> findAnyBelow(std::size_t node, const Resources &size,
                                            std::minstd_rand &random) const;

    std::size_t leafCount_ = 0;
    std::size_t workerCount_ = 0;
    /** Node 1 is the root, nodes 2n and 2n + 1 are the children of n. */
    std::vector<Node> nodes_;
};

} // namespace Oleander::Placement
