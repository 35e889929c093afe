package main

import (
	"archive/tar"
	"os"

	"github.com/klauspost/compress/zstd"
)

// archive packs a folder into a compressed file: logs and histories of a run together.
func archive(folder, path string) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	compressed, err := zstd.NewWriter(file)
	if err != nil {
		return err
	}
	files := tar.NewWriter(compressed)
	if err := files.AddFS(os.DirFS(folder)); err != nil {
		return err
	}
	if err := files.Close(); err != nil {
		return err
	}
	return compressed.Close()
}
