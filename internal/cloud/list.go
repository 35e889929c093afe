package cloud

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"switchshore.example/switchshore/wire"
)

// listPageSize is the number of machines per page, the largest that the protocol allows.
const listPageSize = 500

// ListMachines returns all machines, and reads the list page by page.
func (c *Client) ListMachines(ctx context.Context) ([]wire.ListedMachine, error) {
	var all []wire.ListedMachine
	after := ""
	for {
		page, err := c.listPage(ctx, after)
		if err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}

// listPage reads one page of machines, from the first name after the given one, or from the start
// for "".
func (c *Client) listPage(ctx context.Context, after string) (wire.MachineList, error) {
	query := url.Values{"limit": {strconv.Itoa(listPageSize)}}
	if after != "" {
		query.Set("since", after)
	}
	var page wire.MachineList
	err := c.do(ctx, http.MethodGet, "/rentals?"+query.Encode(), nil, &page)
	return page, err
}
