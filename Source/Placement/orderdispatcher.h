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
 * \brief Sends the orders that the task book calls for, again and again until reports show their
 * effect.
 */
class OrderDispatcher
{
public:
    using Send = std::function<void(const std::string &worker, TaskOrder order)>;

    OrderDispatcher(Duration resendInterval, Send send)
        : resendInterval_(resendInterval), send_(std::move(send))
    {}

    /** Looks again at a task that changed. */
    void update(const Task &task);
    void forget(const std::string &task);
    void clear();
    /** Sends what is due. */
    void tick(const TaskBook &book, TimePoint now);
    /** Tells a worker that its report of an ended attempt was taken, or that it runs a wrong one.
     */
    void dismiss(const std::string &worker, const AttemptReport &report, TimePoint now);

private:
    Duration resendInterval_;
    Send send_;
    /** Tasks with an order to send, and when it was sent last. */
    std::map<std::string, TimePoint> pending_;
    /** Throttle that was ordered last, by task. */
    std::map<std::string, std::uint32_t> throttles_;
    /** Attempts that were dismissed, so that the same report is not answered at once again. */
    std::map<std::pair<std::string, std::string>, TimePoint> dismissed_;
};

} // namespace Oleander::Placement
