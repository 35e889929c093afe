package cloud

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"switchshore.example/switchshore/wire"
)

// listPageSize is the number of machines per page: the most that the cloud allows.
const listPageSize = 500

// ListMachines returns all machines. It reads the list page by page.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	lastName := ""
	for {
		page, err := c.listPage(ctx, lastName)
		if err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		lastName = page.Machines[len(page.Machines)-1].Name
	}
}

// listPage reads one page of machines, in the order of their names. The page starts with the first
// name that follows after, even if the machine named after has been released.
func (c *Client) listPage(ctx context.Context, after string) (wire.MachineList, error) {
	query := url.Values{"limit": {strconv.Itoa(listPageSize)}}
	if after != "" {
		query.Set("since", after)
	}
	var page wire.MachineList
	err := c.do(ctx, http.MethodGet, "/rentals?"+query.Encode(), nil, &page)
	return page, err
}
