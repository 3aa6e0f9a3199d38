#pragma once

#include "Base/clock.h"
#include "Placement/taskbook.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace Oleander::Placement {

/**
 * \class OrderDispatcher
 * \brief Sends the orders that the state of the task book requires, and resends them until reports
 * show their effect.
 */
class OrderDispatcher
{
public:
    using Send = std::function<void(const std::string &worker, TaskOrder order)>;

    OrderDispatcher(Duration resendInterval, Send send)
        : resendInterval_(resendInterval), send_(std::move(send))
    {}

    /** Updates the pending order of a task that changed. */
    void update(const Task &task);
    void forget(const std::string &task);
    void clear();
    /** Sends the orders that are due. */
    void tick(const TaskBook &book, TimePoint now);
    /** Orders a worker to stop an attempt that is not live: its end was recorded, or it should not
     * run there. */
    void dismiss(const std::string &worker, const AttemptReport &report, TimePoint now);

private:
    Duration resendInterval_;
    Send send_;
    /** Tasks with an order to send, and the time when it was last sent. */
    std::map<std::string, TimePoint> pending_;
    /** Last ordered throttle percentage by task. */
    std::map<std::string, std::uint32_t> throttles_;
    /** Time of the last dismissal by worker and task, so that repeated reports aren't answered each
     * time. */
    std::map<std::pair<std::string, std::string>, TimePoint> dismissed_;
};

} // namespace Oleander::Placement
